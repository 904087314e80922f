// Package labtypedproxy runs the proxy process of a deployment whose protocol is translated to typed operations
// (lab.Operation). It combines the client listener, the connections to members and the subscription to the changes of
// the control group.
package labtypedproxy
