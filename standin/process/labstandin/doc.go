// Package labstandin is a stand-in for a PostgreSQL database group. By default its members listen on loopback ports.
// They speak version 3 of the PostgreSQL protocol, replicate asynchronously from one primary, and have timelines and
// WAL positions. Tests inject faults through the methods of Member.
//
// Every table exists without CREATE TABLE and has two text columns, key (unique) and value. A statement with several
// tables, a join or another column is a syntax error.
//
// A slot of a member is occupied by one running statement that does work in the database. Internal statements are the
// queries about WAL positions and promotion that proxies and control instances send; they occupy no slot.
package labstandin
