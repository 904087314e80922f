// Package standin holds the stand-in PostgreSQL server that bench, the demo and tests run against.
package standin
