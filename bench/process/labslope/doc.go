// Package labslope measures how the resource use of the system grows with its size, for example with the number of
// proxies, as a basis for capacity planning.
//
// Two measurements have names that differ from the terms of the code: "callers" measures client connections, and
// "routes" measures the local catalog of a proxy. A relay is a control instance that is not the leader and forwards
// heartbeats of proxies to the leader in batches.
package labslope
