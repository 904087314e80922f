// Package labinstance runs one control instance: journal, consensus, decisions, transport and HTTP servers.
package labinstance
