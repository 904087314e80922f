// Package labforward opens transactions at the gateway that holds the duty, here or at another proxy.
package labforward
