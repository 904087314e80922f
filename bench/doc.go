// Command laburnumbench measures laburnumlock against stand-in PostgreSQL servers.
package main
