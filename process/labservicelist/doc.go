// Package labservicelist passes the list of services that a proxy uses on to the control instance that answers its
// watches, as changes. The answers then carry the positions of these services only.
package labservicelist
