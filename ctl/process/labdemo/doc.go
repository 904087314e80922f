// Package labdemo runs a whole deployment in one process, to try it out or to check it under failures.
package labdemo
