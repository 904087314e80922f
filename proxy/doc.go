// Command laburnumlock-proxy is the proxy that PostgreSQL clients connect to.
package main
