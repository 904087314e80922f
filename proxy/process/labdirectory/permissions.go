package labdirectory

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labpermission"
)

// Permissions returns the permissions to commit. Without a grant of the control group there are none.
func (d *Directory) Permissions() *labpermission.Permissions {
	d.permissionsOnce.Do(func() {
		d.permissions.Clock, d.permissions.Log, d.permissions.Drained = d.Clock, d.Log, d.OnCommitsDrained
	})

	return &d.permissions
}

// UpdatePermissions applies a grant in the response to a request sent at the given time.
func (d *Directory) UpdatePermissions(g lab.PermissionGrant, sentAt time.Duration) {
	if !d.Permissions().Apply(g, sentAt) {
		return
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.notifyLocked()
}
