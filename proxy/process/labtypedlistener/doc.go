// Package labtypedlistener accepts client connections with gnet and runs their sessions. Since most sessions are idle, a
// session has a goroutine only while one of its operations runs.
package labtypedlistener
