// Package labgateway runs transactions on the members of the databases whose duties this proxy holds.
package labgateway
