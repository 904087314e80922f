// Package labreachability remembers which other proxies answer. It answers one load pattern: many proxies lose power at once,
// and every statement passed on to one of them would wait for an answer that does not come.
package labreachability
