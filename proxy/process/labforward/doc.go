// Package labforward opens transactions at the proxy that holds the gateway role of a database: at this proxy, or by
// forwarding them to another one.
package labforward
