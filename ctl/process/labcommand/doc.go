// Package labcommand implements the operators' command line, laburnumctl.
package labcommand
