package labcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/control/process/labinstance"
	"laburnumlock.dev/lab/ctl/process/labcommand"
	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/version/labsettings"
)

const anyPort = "127.0.0.1:0"

// desk is an operator's command line with a running control instance.
type desk struct {
	t       *testing.T
	folder  string
	keys    string
	control string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{t: t, folder: t.TempDir()}
	d.keys = filepath.Join(d.folder, "keys")
	d.assertRuns("authority created", "keys", "--folder", d.keys, "init")
	d.assertRuns("certificate of control-1 issued", "keys", "--folder", d.keys, "issue", "control-1")
	d.assertRuns("certificate of aino issued", "keys", "--folder", d.keys, "issue", "aino", "--role", "operator")
	d.assertRuns("certificate of eino issued", "keys", "--folder", d.keys, "issue", "eino", "--role", "operator")
	d.start()

	return d
}

func (d *desk) start() {
	d.t.Helper()
	s := &labsettings.Control{
		Common: labsettings.Common{
			Instance: "control-1", Region: "r", AvailabilityZone: "z", ProcessAddress: anyPort, AnnounceAddress: anyPort,
			MetricsAddress: anyPort, KeysFolder: d.keys, UpstreamUser: "u",
		},
		DataFolder: filepath.Join(d.folder, "control-1"), OperatorAddress: anyPort, SnapshotEntries: 1000,
	}
	i := &labinstance.Instance{Settings: s, Logger: zerolog.Nop()}
	assert.NilError(d.t, i.Listen(d.t.Context()))
	d.control = i.OperatorAddress()
	s.Peers = []labsettings.Peer{
		{Instance: "control-1", ProcessAddress: i.ProcessAddress(), OperatorAddress: i.OperatorAddress()},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		assert.NilError(d.t, <-done)
	})
	for end := time.Now().Add(5 * time.Second); !i.Leading(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(d.t, time.Now().Before(end), "no leader")
	}
}

func (d *desk) run(arguments ...string) (string, error) {
	var out bytes.Buffer
	c := &labcommand.Command{Out: &out, Err: &out}
	err := c.Run(d.t.Context(), arguments)

	return out.String(), err
}

func (d *desk) as(operator string, arguments ...string) []string {
	return append([]string{"--control", d.control, "--keys", d.keys, "--operator", operator}, arguments...)
}

func (d *desk) assertRuns(text string, arguments ...string) string {
	d.t.Helper()
	out, err := d.run(arguments...)
	assert.NilError(d.t, err)
	assert.Assert(d.t, bytes.Contains([]byte(out), []byte(text)), "%q lacks %q", out, text)

	return out
}

func (d *desk) assertFails(text string, arguments ...string) {
	d.t.Helper()
	_, err := d.run(arguments...)
	assert.ErrorContains(d.t, err, text)
}

// assertReloaded waits until a command succeeds or fails as wanted; instances reread key files every 2 s.
func (d *desk) assertReloaded(succeeds bool, arguments []string) {
	d.t.Helper()
	for end := time.Now().Add(4 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		_, err := d.run(arguments...)
		if (err == nil) == succeeds {
			return
		}
		assert.Assert(d.t, time.Now().Before(end), "still %v", err)
	}
}

func (d *desk) file(content string) string {
	d.t.Helper()
	f, err := os.CreateTemp(d.folder, "*.json")
	assert.NilError(d.t, err)
	_, err = f.WriteString(content)
	assert.NilError(d.t, err)
	assert.NilError(d.t, f.Close())

	return f.Name()
}

func version(t *testing.T, answer string) uint64 {
	t.Helper()
	var a struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(t, json.Unmarshal([]byte(answer), &a))

	return a.Version
}

// Guards against a command that reports something else than what control decided.
func TestCommands(t *testing.T) {
	d := newDesk(t)
	light, heavy := d.file(`{"parameters": {"weight": 3}}`), d.file(`{"parameters": {"weight": 5}}`)

	t.Run("template", func(t *testing.T) {
		first := d.assertRuns(`"outcome": "accepted"`, d.as("aino", "template", "put", "--base", "0", "--change-id", "one", "basic", light)...)
		d.assertRuns(`"operator": "aino"`, d.as("eino", "template", "get", "basic")...)
		d.assertRuns("/parameters/weight - 3\n/parameters/weight + 5\n", d.as("aino", "template", "diff", "basic", heavy)...)

		again := d.assertRuns(`"outcome": "accepted"`, d.as("aino", "template", "put", "--base", "0", "--change-id", "one", "basic", light)...)
		assert.Equal(t, version(t, again), version(t, first))
	})

	t.Run("organisation conflict names the winner", func(t *testing.T) {
		v, err := labscram.NewCredential("secret")
		assert.NilError(t, err)
		credential, err := json.Marshal(v)
		assert.NilError(t, err)
		o := d.file(`{"template": "basic", "databases": ["hire-1"], "credential": ` + string(credential) + `}`)
		d.assertRuns(`"outcome": "accepted"`, d.as("aino", "organisation", "put", "--base", "0", "--change-id", "two", "north", o)...)
		d.assertFails(`"winner":{"operator":"aino","change_id":"two"`, d.as("eino", "organisation", "put", "--base", "0", "north", o)...)
	})

	t.Run("audit", func(t *testing.T) {
		d.assertRuns(`"change_id": "two"`, d.as("aino", "audit", "list")...)
		d.assertRuns("the audit trail is intact", d.as("aino", "audit", "verify")...)
	})

	t.Run("control", func(t *testing.T) {
		d.assertRuns(`"leader": "control-1"`, d.as("aino", "control", "list")...)
		d.assertFails("leads the group", d.as("aino", "control", "remove", "control-1")...)
		d.assertFails("no such control instance", d.as("aino", "control", "remove", "control-9")...)
		d.assertFails("must be IP addresses", d.as("aino", "control", "add", "c", "--process-address", "x", "--operator-address", "y")...)
	})

	t.Run("keys rotate and retire", func(t *testing.T) {
		list := func(operator string) []string { return d.as(operator, "template", "list") }
		d.assertRuns("authority rotated", "keys", "--folder", d.keys, "rotate")
		d.assertRuns(`"names"`, list("aino")...)
		d.assertRuns("certificate of aino issued", "keys", "--folder", d.keys, "issue", "aino", "--role", "operator")
		d.assertRuns("certificate of control-1 issued", "keys", "--folder", d.keys, "issue", "control-1")
		d.assertReloaded(true, list("aino"))
		d.assertRuns(`"names"`, list("eino")...)
		d.assertRuns("older authorities", "keys", "--folder", d.keys, "retire")
		d.assertReloaded(false, list("eino"))
		d.assertRuns(`"names"`, list("aino")...)
		d.assertFails("load operator certificate", d.as("nobody", "status")...)
	})

	t.Run("check", func(t *testing.T) {
		d.assertFails(".json:2:", "check", "control", d.file("{\n\"instance\": \"Not A Name\"}"))
		d.assertRuns("is a valid deployment file", "check", "deployment", "../../../samples/saptak.json")
	})
}
