// Package labtypedproxy is the proxy process of a deployment with typed operations: callers, connections to members, and the
// subscription to the control group.
package labtypedproxy
