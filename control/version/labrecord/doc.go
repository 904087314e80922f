// Package labrecord is the state that the control instances of a deployment with whole-document configuration agree on:
// the newest document and the promotions that were ordered.
package labrecord
