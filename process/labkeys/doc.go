// Package labkeys creates and loads the certificates by which processes of the system authenticate each other.
//
// A keys folder contains ca.crt (the authority's certificates, several during a rotation), ca.key (on the operator's
// machine only), NAME.crt and NAME.key for each instance, and token.key with the keys for session tokens.
package labkeys
