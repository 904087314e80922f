// Package lab defines the interfaces between the parts of laburnumlock and the types that these interfaces exchange.
//
// The implementations are in the packages below, grouped by the lifetime of their state: request, connection,
// configuration version and process.
package lab
