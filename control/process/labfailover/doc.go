// Package labfailover decides when the primary of a service is replaced and which member becomes the new one. It is
// used in deployments in which the platform promotes a member when control requests it. A replica is readable if its
// last status request succeeded.
//
// A commit is acknowledged once one replica has received it, so the candidate must have everything that any other
// replica has received. Before the promotion, the other replicas are paused: they stop receiving the log. From then on
// only the candidate can receive commits, so commits acknowledged later are in its log.
package labfailover
