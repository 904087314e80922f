// Package labsubscriber keeps a proxy's directory in step with the leader of the control group.
package labsubscriber
