package lab

import "time"

// PermissionRevision identifies a list of commit permissions. The zero value means that there is none.
type PermissionRevision struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names, since each watch has several

	Term   uint64 // consensus term of the leader that made the list
	Number uint64 // grows with each list of this leader
}

// IsZero reports whether the revision is unset.
func (r PermissionRevision) IsZero() bool {
	return r == PermissionRevision{}
}

// Before reports whether r precedes q, comparing terms first and then numbers.
func (r PermissionRevision) Before(q PermissionRevision) bool {
	if r.Term != q.Term {
		return r.Term < q.Term
	}

	return r.Number < q.Number
}

// CommitPermission allows the proxies to commit at a member of a service. Control withdraws it before it orders the
// promotion of another member, and gives it for the new primary once no open order can depose that one.
type CommitPermission struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names

	Service string
	Member  string
}

// PermissionGrant gives a list of commit permissions for a time. It replaces the list that the receiver has, unless that is
// of the same or a later revision.
type PermissionGrant struct {
	Revision PermissionRevision `msgpack:"r"` // zero if nothing is granted; the receiver then keeps what it has
	// Permissions is the list. It is empty if the receiver has applied this revision already.
	Permissions []CommitPermission `msgpack:"p,omitempty"`
	// Base is the list that the receiver has, if Permissions are the changes since. An entry without a member withdraws the
	// permission of a service. A receiver with another list ignores the grant.
	Base PermissionRevision `msgpack:"b,omitempty"`
	// ValidFor is how long the list is valid, counted from the time at which the receiver sent its request. It is 0 or
	// less if the list gives no time.
	ValidFor time.Duration `msgpack:"v"`
}

// PermissionReport is what the sender of a watch has done with the lists that it received.
type PermissionReport struct {
	Applied PermissionRevision `msgpack:"a"` // newest list that the sender has applied
	// Confirmed is the newest list for which the sender, and each proxy that watches it, has no commit under way that an
	// earlier list allowed and this one doesn't.
	Confirmed PermissionRevision `msgpack:"c"`
}
