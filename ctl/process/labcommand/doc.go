// Package labcommand is the operators' command line, laburnumctl.
package labcommand
