// Package labscram authenticates callers by SCRAM-SHA-256.
package labscram
