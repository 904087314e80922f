// Package labvoters decides how the membership of the control group follows the instances that are there: an instance
// with an empty disk joins under a new identity and takes a lost one's place once it has caught up.
package labvoters
