// Package labinstance runs one control instance: journal, consensus, control server, transport and HTTP servers.
package labinstance
