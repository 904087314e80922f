// Package labplacement decides which proxies have connections to the members of a service when a member accepts fewer
// connections than there are proxies. The other proxies relay their statements through these proxies, their gateways.
package labplacement
