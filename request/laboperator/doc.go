// Package laboperator is a client for the operators' API of the control instances.
package laboperator
