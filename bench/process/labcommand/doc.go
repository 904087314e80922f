// Package labcommand implements the commands of laburnumbench, a tool for developers.
package labcommand
