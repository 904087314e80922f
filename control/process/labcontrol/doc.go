// Package labcontrol is the control process: it answers heartbeats with leases and catalog changes, moves duties,
// drives promotions and serves the operators' HTTP API.
package labcontrol
