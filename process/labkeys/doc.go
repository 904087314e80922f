// Package labkeys makes and loads the certificates with which the system's processes recognise each other.
//
// A keys folder holds ca.crt (one or more authorities, for rotation), ca.key on the operator's machine only,
// NAME.crt and NAME.key for each instance, and token.key, the key that signs session tokens.
package labkeys
