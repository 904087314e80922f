// Package labprogram implements the command line that the daemons share. It runs a daemon with a settings file, or only
// checks the file.
package labprogram
