// Package labscram authenticates clients with SCRAM-SHA-256.
package labscram
