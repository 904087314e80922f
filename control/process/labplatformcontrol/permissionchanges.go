package labplatformcontrol

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab"
)

// permissionChanges remembers when the permission of each service last changed in the lists of one leader, for receivers
// that have one of its former lists. The lists are sorted by service.
type permissionChanges struct {
	latest  lab.PermissionRevision
	first   uint64                            // number of the first known list of the term
	changed map[string]uint64                 // by service, the number of the list that changed it
	known   map[uint64][]lab.CommitPermission // results of since by number of the receiver's list
}

// begin records a list of which it is not known what has changed since former lists.
func (c *permissionChanges) begin(revision lab.PermissionRevision) {
	c.latest, c.first, c.changed, c.known = revision, revision.Number, map[string]uint64{}, nil
}

// add records what has changed between the former list and the next one. It includes services that have changed twice and
// are as before, since a receiver may have a list in between.
func (c *permissionChanges) add(changes []lab.CommitPermission, revision lab.PermissionRevision) {
	if revision.Term != c.latest.Term {
		c.begin(revision)

		return
	}

	c.latest, c.known = revision, nil

	for _, p := range changes {
		c.changed[p.Service] = revision.Number
	}
}

// since returns the changes between the list of a revision and the latest one. It returns false if they are not known. A
// list between two known ones lacks part of a change; applying the whole change to it has the same result.
func (c *permissionChanges) since(revision lab.PermissionRevision, list []lab.CommitPermission) ([]lab.CommitPermission, bool) {
	if revision.Term != c.latest.Term || revision.Number < c.first || revision.Number > c.latest.Number {
		return nil, false
	}

	if out, ok := c.known[revision.Number]; ok {
		return out, true
	}

	out := []lab.CommitPermission{}

	for s, n := range c.changed {
		if n <= revision.Number {
			continue
		}

		p := lab.CommitPermission{Service: s}
		if i, ok := slices.BinarySearchFunc(list, s, compareService); ok {
			p = list[i]
		}

		out = append(out, p)
	}

	if c.known == nil {
		c.known = map[uint64][]lab.CommitPermission{}
	}

	c.known[revision.Number] = out

	return out, true
}

func compareService(p lab.CommitPermission, service string) int {
	return strings.Compare(p.Service, service)
}

// differingPermissions returns what turns one list into another. An entry without a member withdraws a permission.
func differingPermissions(before, after []lab.CommitPermission) []lab.CommitPermission {
	var out []lab.CommitPermission

	for _, p := range after {
		if i, ok := slices.BinarySearchFunc(before, p.Service, compareService); !ok || before[i] != p {
			out = append(out, p)
		}
	}

	for _, p := range before {
		if _, ok := slices.BinarySearchFunc(after, p.Service, compareService); !ok {
			out = append(out, lab.CommitPermission{Service: p.Service})
		}
	}

	return out
}

// changedPermissions returns the list after changes.
func changedPermissions(list, changes []lab.CommitPermission) []lab.CommitPermission {
	changed := map[string]bool{}
	for _, p := range changes {
		changed[p.Service] = true
	}

	out := slices.DeleteFunc(slices.Clone(list), func(p lab.CommitPermission) bool { return changed[p.Service] })

	for _, p := range changes {
		if p.Member != "" {
			out = append(out, p)
		}
	}

	slices.SortFunc(out, func(a, b lab.CommitPermission) int { return strings.Compare(a.Service, b.Service) })

	return out
}
