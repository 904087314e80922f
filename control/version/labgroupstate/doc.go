// Package labgroupstate holds the replicated state of the control group: the newest configuration document and the
// newest promotion order of each service. It is used in deployments in which the platform delivers the whole
// configuration in one document.
package labgroupstate
