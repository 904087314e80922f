// Package labsql parses the small part of SQL that the stand-in upstream understands.
package labsql
