// Package labstatement classifies SQL text and reads the tags that clients put into its comments.
//
// The classification is conservative: a statement is a read only if the scanner recognises it as one that changes
// nothing.
package labstatement
