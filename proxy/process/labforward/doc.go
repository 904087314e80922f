// Package labforward opens transactions at the proxy that holds the gateway role of a database. If that is another
// proxy, the transactions are forwarded to it.
package labforward
