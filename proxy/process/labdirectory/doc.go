// Package labdirectory is what a proxy knows: the document in force, the members of each service with the connections
// to them, and which of them lead.
package labdirectory
