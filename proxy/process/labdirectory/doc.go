// Package labdirectory holds the state that a proxy has received or observed: the active configuration, and for each
// service its members, its primary and the connections to them. It selects the connections for reads and writes.
package labdirectory
