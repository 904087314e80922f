// Package labrandom provides random number generators: randomly seeded, deterministic for tests, and secure.
package labrandom
