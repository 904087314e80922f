// Package labpassword reads the password that the system uses to log in to the upstreams.
package labpassword
