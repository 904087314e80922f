// Package labcommand is the developers' command line, laburnumbench.
package labcommand
