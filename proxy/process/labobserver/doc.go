// Package labobserver polls the positions of database members and judges whether they are reachable.
package labobserver
