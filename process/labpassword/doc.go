// Package labpassword reads the password of the system's login at the upstreams.
package labpassword
