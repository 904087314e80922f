// Package labstatement classifies SQL text and reads the tags that clients put into its comments.
//
// The classification is conservative: if the scanner can't tell that a statement changes nothing, the statement does
// not count as a read.
package labstatement
