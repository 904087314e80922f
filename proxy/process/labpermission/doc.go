// Package labpermission holds the permissions to commit that the control group has granted to this proxy, and the commits
// that are under way.
package labpermission
