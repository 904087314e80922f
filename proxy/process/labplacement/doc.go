// Package labplacement decides which proxies have direct connections to a member when the member accepts fewer
// connections than there are proxies. The other proxies relay their statements through these direct proxies, which are
// their gateways.
package labplacement
