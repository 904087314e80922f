// Package labpositions collects the positions that observers of the primaries report to the leader of the control
// group, so that all other proxies learn them without requests to the primaries.
package labpositions
