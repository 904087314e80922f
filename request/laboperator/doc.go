// Package laboperator calls the operators' API of the control instances.
package laboperator
