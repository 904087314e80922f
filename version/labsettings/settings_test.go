package labsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/version/labsettings"
)

func parse(name string, text []byte) error {
	var err error
	if strings.HasPrefix(name, "control") {
		_, err = labsettings.ParseControl(name, text)
	} else {
		_, err = labsettings.ParseProxy(name, text)
	}

	return err
}

// Guards against invalid settings that the check before the start does not detect, and against errors without a
// position.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)

	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			assert.NilError(t, err)

			got := parse(filepath.Base(f), text)

			want, err := os.ReadFile(strings.TrimSuffix(f, ".json") + ".errors")
			if os.IsNotExist(err) {
				assert.NilError(t, got)

				return
			}

			assert.NilError(t, err)
			assert.Error(t, got, strings.TrimSpace(string(want)))
		})
	}
}

// Guards against sample deployments that can't be loaded.
func TestSamples(t *testing.T) {
	for name, proxies := range map[string]int{"rantavahti": 9, "saptak": 10} {
		t.Run(name, func(t *testing.T) {
			d, err := labsettings.LoadDeployment(filepath.Join("..", "..", "samples", name+".json"))
			assert.NilError(t, err)
			assert.Equal(t, len(d.ProxyZones), proxies)
			assert.Equal(t, len(d.DatabaseGroup.Databases), 3)
			assert.Equal(t, len(d.DatabaseGroup.MemberZones), 3)
		})
	}
}

// Guards against a settings text that crashes the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instance": "p", "control": ["127.0.0.1:1"]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_ = parse("proxy", text)
		_ = parse("control", text)
		_, _ = labsettings.ParseDeployment("d", text)
	})
}
