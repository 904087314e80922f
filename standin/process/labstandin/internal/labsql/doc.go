// Package labsql parses the subset of SQL that the stand-in server supports.
package labsql
