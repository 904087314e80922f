// Package labgroupstate holds the replicated state of the control instances in deployments in which the platform delivers
// the whole configuration document: the newest document and the ordered promotions.
package labgroupstate
