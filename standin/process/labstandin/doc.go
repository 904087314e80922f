// Package labstandin is a stand-in for a PostgreSQL database group. By default its members listen on loopback ports.
// They speak version 3 of the PostgreSQL protocol, replicate asynchronously from one primary, and have timelines and
// WAL positions. Tests inject faults through the methods of Member.
//
// Every table exists without CREATE TABLE and has two text columns, key (unique) and value. A statement with several
// tables, a join or another column is a syntax error.
//
// A running statement that does work in the database occupies one slot of its member. Internal statements are the
// queries about WAL positions and promotion that proxies and control instances send; they occupy no slot.
package labstandin
