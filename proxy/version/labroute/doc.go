// Package labroute holds the catalog in force at a proxy: organisations, databases, placements and terms.
package labroute
