// Command laburnumctl is the operators command line; its demo starts a whole deployment in one process.
package main
