// Package labpermissionholders records which receivers of commit permissions may still hold an earlier list than the newest
// one. It reads no clock: every call receives the current time.
package labpermissionholders
