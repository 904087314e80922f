// Package labquotaclient takes tokens of the organisations' quotas for the operations of a proxy. It holds the tokens that a
// control instance has granted, and asks for further ones before or when they are needed.
package labquotaclient
