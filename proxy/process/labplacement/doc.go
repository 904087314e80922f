// Package labplacement decides which proxies keep connections to the members of a service when a member accepts fewer
// connections than there are proxies. The others pass their statements on to these gateways.
package labplacement
