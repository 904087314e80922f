// Package labmeteredreader counts what is read for one message in the memory budget of the process.
package labmeteredreader
