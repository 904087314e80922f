// Package labtypedlistener accepts callers with gnet and runs their sessions. A session uses a goroutine only while one of its
// operations runs, since most sessions are idle.
package labtypedlistener
