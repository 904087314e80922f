// Package labprogram is the command line that the daemons share: run and check a settings file.
package labprogram
