package lab

import "time"

// Consistency says which commits a read must see.
type Consistency uint8

// The kinds of consistency.
const (
	ConsistencyPrimary Consistency = iota + 1 // every acknowledged commit
	ConsistencyBounded                        // commits older than the accepted age
	ConsistencySession                        // as bounded, and every commit of the same session
)

// Route says how the sessions of one database name are served.
type Route struct {
	Name        string
	Database    string // name that callers connect to
	Prefix      string // distinguishes routes of one database name
	Service     string // members that hold the data
	Consistency Consistency
	Timeout     time.Duration // of a single statement
	Objective   time.Duration // within which a whole operation should end
	MaxAge      time.Duration // accepted age of data
	Priority    int           // 0 is the highest
}

// Service describes the members that hold one set of databases.
type Service struct {
	Name        string
	Connections int // accepted by each member from all callers together
	Copies      int // replicas that have received a commit before it is acknowledged
}

// Document is one version of the whole configuration.
type Document struct {
	Version         uint64
	Routes          []Route
	Services        []Service
	TransactionIdle time.Duration // after which an idle transaction may be ended; 0 for no limit
	Source          []byte        // as the operator sent it
}

// Route returns the route of a database name.
func (d *Document) Route(database string) (Route, bool) {
	for _, r := range d.Routes {
		if r.Database == database {
			return r, true
		}
	}

	return Route{}, false
}

// Service returns the named service.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}

	return Service{}, false
}

// DocumentReader reads and checks an operator's configuration; its error means that the document is invalid.
type DocumentReader interface {
	Read(source []byte) (*Document, error)
}
