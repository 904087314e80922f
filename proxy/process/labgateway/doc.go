// Package labgateway runs transactions on the members of the databases whose gateway roles this proxy holds.
package labgateway
