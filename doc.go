// Package lab defines the interfaces between the parts of laburnumlock and the typed values that cross them.
//
// Implementations live in the packages below, grouped by the life span of what they hold: request, connection,
// version (of the configuration) and process.
package lab
