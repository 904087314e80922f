// Package lablocalcatalog holds the catalog in force at a proxy: organisations, databases, placements and terms.
package lablocalcatalog
