// Package labgroupstate holds the replicated state of the control group: the newest configuration document, the newest
// promotion order of each service and the members whose logs can have acknowledged commits. It is used in deployments in
// which the platform delivers the whole configuration in one document.
package labgroupstate
