package labpermission

// Commit is a commit under way.
type Commit struct {
	permissions *Permissions
	permission  *permission
}

// End ends the commit when its result has arrived or is no longer awaited; it must be called once. It reports whether the
// permission under which the commit began is still valid, or control can't act on its withdrawal yet since the list
// without it is not confirmed. Otherwise the member may have lost the commit, whatever it has answered.
func (c *Commit) End() bool {
	p := c.permissions

	valid, drained := c.end()
	if drained && p.Drained != nil {
		p.Drained()
	}

	return valid
}

func (c *Commit) end() (valid, drained bool) {
	p := c.permissions

	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.Clock.Now()
	valid = !p.hasEndedLocked(now) && (!c.permission.former || c.permission.awaited(now))
	before := p.confirmedLocked(now)
	c.permission.underWay--

	if c.permission.underWay == 0 {
		delete(p.former, c.permission)
	}

	return valid, before != p.confirmedLocked(now)
}
