// Package labmemberlogs keeps what the control group knows about the logs of a service's members. A commit is
// acknowledged once one replica has received it, so every position that was read at a replica is a lower bound for the
// log of the next primary, also after that replica has ended.
package labmemberlogs
