// Package labtypedsession runs one caller's session over typed operations, without regard to the protocol that carries
// them: it keeps the session's values and prepared statements, binds each transaction to one member connection, and
// decides where each operation runs, when it is tried again and what the caller is told.
package labtypedsession
