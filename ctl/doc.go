// Command laburnumctl is the operators' command line. Its demo command starts a whole deployment in one process.
package main
