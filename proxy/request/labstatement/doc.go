// Package labstatement classifies SQL text and reads the tags that callers put into it.
//
// The classification is conservative: text that the scanner does not recognise as a plain read is never a read.
package labstatement
