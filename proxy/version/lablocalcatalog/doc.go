// Package lablocalcatalog holds a proxy's copy of the active catalog: organisations, databases with their gateway
// placements and primary terms, and the live proxies.
package lablocalcatalog
