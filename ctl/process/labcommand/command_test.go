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

// operatorTool runs laburnumctl against a control instance in this process.
type operatorTool struct {
	t       *testing.T
	folder  string
	keys    string
	control string
}

func newOperatorTool(t *testing.T) *operatorTool {
	t.Helper()
	ot := &operatorTool{t: t, folder: t.TempDir()}
	ot.keys = filepath.Join(ot.folder, "keys")
	ot.assertRuns("authority created", "keys", "--folder", ot.keys, "init")
	ot.assertRuns("certificate of control-1 issued", "keys", "--folder", ot.keys, "issue", "control-1")
	ot.assertRuns("certificate of aino issued", "keys", "--folder", ot.keys, "issue", "aino", "--role", "operator")
	ot.assertRuns("certificate of eino issued", "keys", "--folder", ot.keys, "issue", "eino", "--role", "operator")
	ot.start()

	return ot
}

func (ot *operatorTool) start() {
	ot.t.Helper()
	s := &labsettings.Control{
		Common: labsettings.Common{
			Instance: "control-1", Region: "r", AvailabilityZone: "z", ProcessAddress: anyPort, AnnounceAddress: anyPort,
			MetricsAddress: anyPort, KeysFolder: ot.keys, UpstreamUser: "u",
		},
		DataFolder: filepath.Join(ot.folder, "control-1"), OperatorAddress: anyPort, SnapshotEntries: 1000,
	}
	i := &labinstance.Instance{Settings: s, Logger: zerolog.Nop()}
	assert.NilError(ot.t, i.Listen(ot.t.Context()))
	ot.control = i.OperatorAddress()
	s.Peers = []labsettings.Peer{
		{Instance: "control-1", ProcessAddress: i.ProcessAddress(), OperatorAddress: i.OperatorAddress()},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	ot.t.Cleanup(func() {
		cancel()
		assert.NilError(ot.t, <-done)
	})
	for end := time.Now().Add(5 * time.Second); !i.Leading(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(ot.t, time.Now().Before(end), "no leader")
	}
}

func (ot *operatorTool) run(arguments ...string) (string, error) {
	var out bytes.Buffer
	c := &labcommand.Command{Out: &out, Err: &out}
	err := c.Run(ot.t.Context(), arguments)

	return out.String(), err
}

func (ot *operatorTool) as(operator string, arguments ...string) []string {
	return append([]string{"--control", ot.control, "--keys", ot.keys, "--operator", operator}, arguments...)
}

func (ot *operatorTool) assertRuns(text string, arguments ...string) string {
	ot.t.Helper()
	out, err := ot.run(arguments...)
	assert.NilError(ot.t, err)
	assert.Assert(ot.t, bytes.Contains([]byte(out), []byte(text)), "%q lacks %q", out, text)

	return out
}

func (ot *operatorTool) assertFails(text string, arguments ...string) {
	ot.t.Helper()
	_, err := ot.run(arguments...)
	assert.ErrorContains(ot.t, err, text)
}

// assertReloaded waits until a command succeeds or fails as wanted, since instances reread key files every 2 s.
func (ot *operatorTool) assertReloaded(succeeds bool, arguments []string) {
	ot.t.Helper()
	for end := time.Now().Add(4 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		_, err := ot.run(arguments...)
		if (err == nil) == succeeds {
			return
		}
		assert.Assert(ot.t, time.Now().Before(end), "last error: %v", err)
	}
}

func (ot *operatorTool) file(content string) string {
	ot.t.Helper()
	f, err := os.CreateTemp(ot.folder, "*.json")
	assert.NilError(ot.t, err)
	_, err = f.WriteString(content)
	assert.NilError(ot.t, err)
	assert.NilError(ot.t, f.Close())

	return f.Name()
}

func version(t *testing.T, output string) uint64 {
	t.Helper()
	var a struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(t, json.Unmarshal([]byte(output), &a))

	return a.Version
}

// Guards against a command that reports a result other than control's decision.
func TestCommands(t *testing.T) {
	ot := newOperatorTool(t)
	light, heavy := ot.file(`{"parameters": {"weight": 3}}`), ot.file(`{"parameters": {"weight": 5}}`)

	t.Run("template", func(t *testing.T) {
		first := ot.assertRuns(`"outcome": "accepted"`,
			ot.as("aino", "template", "put", "--base", "0", "--change-id", "one", "basic", light)...)
		ot.assertRuns(`"operator": "aino"`, ot.as("eino", "template", "get", "basic")...)
		ot.assertRuns("/parameters/weight - 3\n/parameters/weight + 5\n", ot.as("aino", "template", "diff", "basic", heavy)...)

		again := ot.assertRuns(`"outcome": "accepted"`,
			ot.as("aino", "template", "put", "--base", "0", "--change-id", "one", "basic", light)...)
		assert.Equal(t, version(t, again), version(t, first))
	})

	t.Run("organisation conflict names the winner", func(t *testing.T) {
		v, err := labscram.NewCredential("secret")
		assert.NilError(t, err)
		credential, err := json.Marshal(v)
		assert.NilError(t, err)
		o := ot.file(`{"template": "basic", "databases": ["hire-1"], "credential": ` + string(credential) + `}`)
		ot.assertRuns(`"outcome": "accepted"`,
			ot.as("aino", "organisation", "put", "--base", "0", "--change-id", "two", "north", o)...)
		ot.assertFails(`"winner":{"operator":"aino","change_id":"two"`,
			ot.as("eino", "organisation", "put", "--base", "0", "north", o)...)
	})

	t.Run("audit", func(t *testing.T) {
		ot.assertRuns(`"change_id": "two"`, ot.as("aino", "audit", "list")...)
		ot.assertRuns("the audit trail is intact", ot.as("aino", "audit", "verify")...)
	})

	t.Run("control", func(t *testing.T) {
		ot.assertRuns(`"leader": "control-1"`, ot.as("aino", "control", "list")...)
		ot.assertFails("leads the group", ot.as("aino", "control", "remove", "control-1")...)
		ot.assertFails("no such control instance", ot.as("aino", "control", "remove", "control-9")...)
		ot.assertFails("must be IP addresses",
			ot.as("aino", "control", "add", "c", "--process-address", "x", "--operator-address", "y")...)
	})

	t.Run("keys rotate and retire", func(t *testing.T) {
		list := func(operator string) []string { return ot.as(operator, "template", "list") }
		ot.assertRuns("authority rotated", "keys", "--folder", ot.keys, "rotate")
		ot.assertRuns(`"names"`, list("aino")...)
		ot.assertRuns("certificate of aino issued", "keys", "--folder", ot.keys, "issue", "aino", "--role", "operator")
		ot.assertRuns("certificate of control-1 issued", "keys", "--folder", ot.keys, "issue", "control-1")
		ot.assertReloaded(true, list("aino"))
		ot.assertRuns(`"names"`, list("eino")...)
		ot.assertRuns("older authorities", "keys", "--folder", ot.keys, "retire")
		ot.assertReloaded(false, list("eino"))
		ot.assertRuns(`"names"`, list("aino")...)
		ot.assertFails("load operator certificate", ot.as("nobody", "status")...)
	})

	t.Run("check", func(t *testing.T) {
		ot.assertFails(".json:2:", "check", "control", ot.file("{\n\"instance\": \"Not A Name\"}"))
		ot.assertRuns("is a valid deployment file", "check", "deployment", "../../../samples/saptak.json")
	})
}
