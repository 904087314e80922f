package labcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/request/laboperator"
)

func (c *Command) addDiff(k *kingpin.CmdClause, cf *connectionFlags, kind laboperator.Kind) {
	diff := k.Command("diff", "Shows how a file differs from the stored document.")
	name := diff.Arg("name", "Name.").Required().String()
	file := diff.Arg("file", "JSON document.").Required().ExistingFile()

	c.register(diff, func(ctx context.Context) error { return c.diff(ctx, cf, kind, *name, *file) })
}

func (c *Command) diff(ctx context.Context, cf *connectionFlags, kind laboperator.Kind, name, file string) error {
	client, err := cf.client()
	if err != nil {
		return err
	}

	stored, err := client.Get(ctx, kind, name)
	if err != nil {
		return err
	}

	local, err := os.ReadFile(file)
	if err != nil {
		return errors.Newf("read document: %w", err)
	}

	lines, err := Diff(stored.Document, local)
	if err != nil {
		return err
	}

	for _, l := range lines {
		if err := c.printLine(nil, "%s", l); err != nil {
			return err
		}
	}

	return nil
}

// Diff returns a line for each JSON path whose value differs: "-" marks the stored value, "+" the local one.
func Diff(stored, local []byte) ([]string, error) {
	storedValues, err := flatten(stored)
	if err != nil {
		return nil, errors.Newf("stored document: %w", err)
	}

	localValues, err := flatten(local)
	if err != nil {
		return nil, errors.Newf("local document: %w", err)
	}

	var lines []string

	for p, v := range storedValues {
		if w, ok := localValues[p]; !ok || !reflect.DeepEqual(v, w) {
			lines = append(lines, fmt.Sprintf("%s - %v", p, v))
		}
	}

	for p, w := range localValues {
		if v, ok := storedValues[p]; !ok || !reflect.DeepEqual(v, w) {
			lines = append(lines, fmt.Sprintf("%s + %v", p, w))
		}
	}

	sort.Slice(lines, func(a, b int) bool { return lines[a] > lines[b] })
	sort.SliceStable(lines, func(a, b int) bool { return pathOf(lines[a]) < pathOf(lines[b]) })

	return lines, nil
}

func pathOf(line string) string {
	var p string

	_, _ = fmt.Sscan(line, &p) // a line always starts with its path

	return p
}

func flatten(document []byte) (map[string]any, error) {
	var v any
	if err := json.Unmarshal(document, &v); err != nil {
		return nil, errors.Newf("decode JSON: %w", err)
	}

	values := map[string]any{}
	addValues(values, "", v)

	return values, nil
}

func addValues(values map[string]any, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			addValues(values, path+"/"+k, x)
		}
	case []any:
		for i, x := range v {
			addValues(values, fmt.Sprintf("%s/%d", path, i), x)
		}
	default:
		values[path] = v
	}
}
