// Package labtypedsession executes the operations of one client session. It works on lab.Operation values, independent of
// the protocol that carries them. A Session stores the session values and prepared statements and binds each transaction
// to one member connection. It decides which member runs an operation, when the operation is retried, and which result
// the client receives.
package labtypedsession
