package labhistory

import (
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// History records operations in the order of their completion.
type History struct {
	mutex      sync.Mutex
	operations []Operation
}

// Add appends an operation.
func (h *History) Add(o Operation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.operations = append(h.operations, o)
}

// Operations returns a copy of all operations.
func (h *History) Operations() []Operation {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	return append([]Operation(nil), h.operations...)
}

// Trace is a recorded history with the final rows and the violations that Check found in it.
type Trace struct {
	Operations []Operation `json:"operations"`
	Final      []FinalRow  `json:"final"`
	Violations Violations  `json:"stated"`
}

// SaveFile writes a trace to a file. It does nothing if the name is empty.
func (t *Trace) SaveFile(name string) error {
	if name == "" {
		return nil
	}

	f, err := os.Create(name)
	if err != nil {
		return errors.Newf("create trace: %w", err)
	}

	if err := errors.CombineErrors(t.Save(f), f.Close()); err != nil {
		return errors.Newf("save trace: %w", err)
	}

	return nil
}

// Save writes a trace as JSON.
func (t *Trace) Save(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")

	if err := e.Encode(t); err != nil {
		return errors.Newf("write trace: %w", err)
	}

	return nil
}

// LoadTrace reads a trace that Save has written.
func LoadTrace(r io.Reader) (*Trace, error) {
	t := &Trace{}

	d := json.NewDecoder(r)
	d.DisallowUnknownFields()

	if err := d.Decode(t); err != nil {
		return nil, errors.Newf("read trace: %w", err)
	}

	return t, nil
}
