// Package labcontrol implements the control process. It responds to heartbeats with leases and catalog changes, places
// gateway roles, drives promotions and serves the operators' HTTP API.
package labcontrol
