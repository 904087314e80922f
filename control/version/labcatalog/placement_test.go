package labcatalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against new registry replicas that don't know which instances have the idempotency keys of earlier epochs.
func TestFormerRegistryReplicas(t *testing.T) {
	c := New()
	apply := func(index uint64, m *Command) {
		data, err := m.Encode()
		assert.NilError(t, err)
		c.Apply(index, data)
	}
	apply(1, &Command{
		JoinedProxies: []lab.Instance{{ID: "p1", Incarnation: 1}, {ID: "p2", Incarnation: 1}},
		Announcements: []lab.Announcement{{Database: "d", Member: "m", Address: "127.0.0.1:1", Region: "r", Incarnation: 1}},
	})

	for i := range uint64(lab.MaxFormerEpochs + 2) {
		replica := lab.InstanceID("p1")
		if i%2 == 1 {
			replica = "p2"
		}

		apply(2+i, &Command{Registries: []RegistryChange{{Database: "d", BaseEpoch: i, Replicas: []lab.InstanceID{replica}}}})
	}

	d, ok := c.Database("d")
	assert.Assert(t, ok)
	assert.Equal(t, d.Registry.Epoch, uint64(lab.MaxFormerEpochs+2))
	assert.Equal(t, len(d.Registry.FormerReplicas), lab.MaxFormerEpochs)
	assert.Equal(t, d.Registry.FormerReplicas[0][0].ID, lab.InstanceID("p1"))
	assert.Equal(t, d.Registry.FormerReplicas[1][0].ID, lab.InstanceID("p2"))
}
