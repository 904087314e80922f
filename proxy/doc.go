// Command laburnumlock-proxy is the proxy that callers connect to.
package main
