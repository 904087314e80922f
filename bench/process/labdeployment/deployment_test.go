package labdeployment_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labdeployment"
	"laburnumlock.dev/lab/bench/process/labload"
	"laburnumlock.dev/lab/bench/request/labhistory"
	"laburnumlock.dev/lab/version/labsettings"
)

const (
	password = "secret"
	seed     = 1
)

func startDeployment(t *testing.T, change func(s *labsettings.Deployment)) *labdeployment.Deployment {
	t.Helper()

	s, err := labsettings.LoadDeployment("../../../samples/rantavahti.json")
	assert.NilError(t, err)

	s.ProxyZones = []string{"hanko", "kotka", "oulu"}
	s.DatabaseGroup.Databases = s.DatabaseGroup.Databases[:1]

	if change != nil {
		change(s)
	}

	d := &labdeployment.Deployment{
		Settings: s, Folder: t.TempDir(), Password: password, StatementCost: time.Millisecond, Lag: 20 * time.Millisecond,
		Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel),
	}
	assert.NilError(t, d.Start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, d.Stop()) })

	return d
}

func newLoad(t *testing.T, d *labdeployment.Deployment) *labload.Load {
	t.Helper()

	l := &labload.Load{
		Addresses: d.ClientAddresses(), Organisation: d.Settings.Organisation, Password: password,
		Databases: d.Settings.DatabaseGroup.Databases, Sessions: 10, Seed: seed, ReadRate: 100, WriteRate: 30,
		BoundedStalenessPct: 50, ReadClass: "rota_board", MovePct: 5,
	}
	assert.NilError(t, l.Prepare(context.Background()))
	t.Cleanup(l.Close)

	return l
}

func assertNoViolations(t *testing.T, d *labdeployment.Deployment, l *labload.Load) {
	t.Helper()

	h := l.History()
	final := append(d.FinalRows(labload.Table), d.FinalRows(labload.IdempotentTable)...)
	assert.Equal(t, labhistory.Check(h, final), labhistory.Violations{})
	assert.Assert(t, len(h) > 100)
}

// Guards against lost acknowledged writes, and against sessions that don't read their own writes, after the primary
// fails in a whole deployment.
func TestPrimaryLost(t *testing.T) {
	d := startDeployment(t, nil)
	l := newLoad(t, d)

	const killDelay = time.Second

	time.AfterFunc(killDelay, d.Group(d.Settings.DatabaseGroup.Databases[0]).Primary().Kill)
	assert.NilError(t, l.Run(context.Background(), 6*time.Second))
	assertNoViolations(t, d, l)

	gap := labhistory.FailoverGap(l.History(), d.Settings.DatabaseGroup.Databases[0], killDelay)
	assert.Assert(t, gap >= 0 && gap < 10*time.Second, "failover gap %s", gap)
	t.Logf("failover gap %s", gap)
}
