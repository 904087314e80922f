// Package labvoters decides which membership changes the control group makes as instances appear and fail. An instance
// with an empty disk joins under a new identity and replaces a lost instance once it has caught up.
package labvoters
