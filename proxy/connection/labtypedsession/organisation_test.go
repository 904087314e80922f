package labtypedsession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// install activates a configuration in which each key belongs to the named organisation.
func (f *fixture) install(version uint64, organisations map[string]string, public bool) {
	f.t.Helper()
	f.installRate(version, organisations, public, 0)
}

// installRate does the same with a rate for each organisation.
func (f *fixture) installRate(version uint64, organisations map[string]string, public bool, rate float64) {
	f.t.Helper()

	c := &lab.Configuration{
		Version: version, KeysRequired: true,
		Services: []lab.Service{{Name: "s", MaxConnections: 24, SyncReplicas: 1}},
		Routes: []lab.Route{{
			Database: "db", Service: "s", Consistency: lab.ConsistencyPrimary, StatementTimeout: testTimeout, Public: public,
			MaxStaleness: 2 * time.Second,
		}},
	}
	for k, o := range organisations {
		c.Organisations = append(c.Organisations, lab.OrganisationPolicy{Name: o, Keys: []string{k}, Rate: rate})
	}

	assert.NilError(f.t, c.IndexOrganisations())
	f.directory.Install(c)
}

// TestKeys guards against statements of a client whose key was removed or belongs to another organisation by now.
func TestKeys(t *testing.T) {
	start := func(t *testing.T) *fixture {
		t.Helper()

		f := newFixture(t, lab.ConsistencyPrimary)
		f.install(2, map[string]string{"k": "o"}, false)
		f.session.Key = "k"

		return f
	}

	t.Run("valid key", func(t *testing.T) {
		f := start(t)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Equal(t, f.session.organisation.Name, "o")
	})

	t.Run("removed key", func(t *testing.T) {
		f := start(t)
		f.install(3, map[string]string{"other": "o"}, false)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnauthorized)
		assert.Assert(t, !f.session.Authorised())
		f.assertExecuted()
	})

	t.Run("removed during a transaction", func(t *testing.T) {
		f := start(t)
		f.do(lab.OperationBegin)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		f.install(3, nil, false)

		r := f.do(lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultUnauthorized)
		f.assertExecuted(executedOperation{member: "a", status: 'T'})
		assert.Equal(t, f.do(lab.OperationRollback).Status, lab.StatusIdle)
	})

	t.Run("moved during a transaction", func(t *testing.T) {
		f := start(t)
		f.do(lab.OperationBegin)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		f.install(3, map[string]string{"k": "p"}, false)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultAborted)
		f.do(lab.OperationRollback)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Equal(t, f.session.organisation.Name, "p")
	})

	// The transaction stayed open for the client, whose later statements were all refused.
	t.Run("commit after the key has moved", func(t *testing.T) {
		f := start(t)
		f.do(lab.OperationBegin)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		f.install(3, map[string]string{"k": "p"}, false)

		r := f.do(lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultAborted)
		assert.Equal(t, r.Status, lab.StatusIdle)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
	})

	t.Run("commit of the transaction that failed when the key moved", func(t *testing.T) {
		f := start(t)
		f.do(lab.OperationBegin)
		f.install(3, map[string]string{"k": "p"}, false)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultAborted)

		r := f.do(lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultAborted)
		assert.Equal(t, r.Status, lab.StatusIdle)
	})

	t.Run("removed route", func(t *testing.T) {
		for _, public := range []bool{true, false} {
			f := start(t)
			f.install(3, map[string]string{"k": "o"}, public)
			assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)

			c := &lab.Configuration{Version: 4, KeysRequired: true}
			assert.NilError(t, c.IndexOrganisations())
			f.directory.Install(c)
			assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNoDatabase)
		}
	})

	t.Run("removed and added again", func(t *testing.T) {
		f := start(t)
		f.install(3, nil, false)
		f.install(4, map[string]string{"k": "o"}, false)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
	})

	t.Run("public route", func(t *testing.T) {
		f := start(t)
		f.install(3, nil, true)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Equal(t, f.session.organisation.Name, "")
	})
}
