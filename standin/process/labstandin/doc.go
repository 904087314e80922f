// Package labstandin is a stand-in for a PostgreSQL database group: members on loopback ports that speak protocol 3,
// replicate asynchronously from one primary, have timelines and log positions and can be made to fail.
//
// All tables have the text columns key (unique) and value and exist without being created. A statement of several
// tables, joins or other columns is a syntax error.
package labstandin
