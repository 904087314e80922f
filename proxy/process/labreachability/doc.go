// Package labreachability tracks which other proxies respond. When many proxies lose power at once, statements relayed to
// one of them would otherwise each wait for a response until their deadline.
package labreachability
