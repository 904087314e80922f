// Package labrecovery keeps a panic in the handling of one connection or one call from ending the whole process.
package labrecovery
