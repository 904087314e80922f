// Package labobserver polls the WAL positions of database members and decides whether the members are reachable.
package labobserver
