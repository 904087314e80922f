// Package labkeeper is the control process of a deployment whose platform hands out a whole configuration document,
// lets members announce themselves and promotes members on call. Its instances found their group from seeds alone and
// replace lost instances without an operator.
package labkeeper
