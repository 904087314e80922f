package labdirectory

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labplacement"
	"laburnumlock.dev/lab/proxy/process/labrelay"
)

// installOrganisations activates a configuration in which each organisation has a key of its name.
func installOrganisations(t *testing.T, d *Directory, version uint64, required bool, names ...string) {
	t.Helper()

	c := &lab.Configuration{
		Version: version, KeysRequired: required, Services: []lab.Service{{Name: "s", MaxConnections: 24}},
		Routes: []lab.Route{{Database: "db", Service: "s"}, {Database: "open", Service: "s", Public: true}},
	}
	for _, n := range names {
		c.Organisations = append(c.Organisations, lab.OrganisationPolicy{Name: n, Keys: []string{n}})
	}

	assert.NilError(t, c.IndexOrganisations())
	d.Install(c)
}

// TestMayServe guards against statements of a removed organisation that a proxy with an older configuration relays, and
// against the refusal of a new organisation that this proxy doesn't know yet.
func TestMayServe(t *testing.T) {
	d, _ := newDirectory(24)
	installOrganisations(t, d, 5, true, "o")

	assert.Assert(t, d.MayServe("o", 4))
	assert.Assert(t, d.MayServe("", 4), "public routes have no organisation")
	assert.Assert(t, !d.MayServe("removed", 4))
	assert.Assert(t, !d.MayServe("removed", 5))
	assert.Assert(t, d.MayServe("new", 6), "the configuration of the sender is newer")
}

// TestOrganisation checks which clients may use a database.
func TestOrganisation(t *testing.T) {
	d, _ := newDirectory(24)

	for _, c := range []struct {
		name, database, key, organisation string
		required                          bool
		fault                             lab.Fault
	}{
		{"no organisations", "db", "x", "", false, lab.FaultNone},
		{"valid key", "db", "o", "o", true, lab.FaultNone},
		{"unknown key", "db", "x", "", true, lab.FaultUnauthorized},
		{"public route", "open", "x", "", true, lab.FaultNone},
		{"public route with a key", "open", "o", "", true, lab.FaultNone},
		{"no route", "none", "x", "", true, lab.FaultNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			installOrganisations(t, d, d.Version()+1, c.required, "o")

			o, f := d.Organisation(c.database, c.key)
			assert.Equal(t, o.Name, c.organisation)
			assert.Equal(t, f, c.fault)
		})
	}
}

// TestGatewayPlacement guards against a deployment without organisations that is placed as one with them, and against a
// proxy that sends statements of an organisation elsewhere than its zone does.
func TestGatewayPlacement(t *testing.T) {
	d, _ := newDirectory(24)
	d.SetProxies(proxies(10))

	m := d.services["s"].members["a"]

	assertGateways := func(want, warm int) {
		t.Helper()

		g, n := d.gatewaysOf(m, "")
		assert.Equal(t, len(g), want)
		assert.Equal(t, n, warm)
	}

	assertGateways(9, labrelay.MaxWarmGateways) // all proxies but this one

	for _, i := range proxies(10) {
		d.Self = i.ID
		d.SetProxies(proxies(10))
		installOrganisations(t, d, d.Version()+1, true, "o", "p")

		if m.maxConnections.Load() > 0 {
			assert.Equal(t, m.maxConnections.Load(), int64(11), "half of the 22 connections")
			assertGateways(labplacement.GatewaysPerZone-1, labplacement.GatewaysPerZone)
		} else {
			assertGateways(labplacement.GatewaysPerZone, labplacement.GatewaysPerZone)
		}
	}

	d.Self = "p00"
	installOrganisations(t, d, d.Version()+1, false)
	assertGateways(9, labrelay.MaxWarmGateways)
	assert.Equal(t, m.maxConnections.Load(), int64(2))
}
