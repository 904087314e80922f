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
	Name             string
	Database         string // name that callers connect to
	PathPrefix       string // distinguishes routes of one database name
	Service          string // members that hold the data
	Consistency      Consistency
	StatementTimeout time.Duration // of a single statement
	TargetLatency    time.Duration // within which a whole operation should end
	MaxStaleness     time.Duration // accepted age of data
	Priority         int           // 0 is the highest
}

// Service describes the members that hold one set of databases.
type Service struct {
	Name           string
	MaxConnections int // accepted by each member from all callers together
	SyncReplicas   int // replicas that have received a commit before it is acknowledged
}

// Configuration is one version of the whole configuration.
type Configuration struct {
	Version                uint64
	Routes                 []Route
	Services               []Service
	IdleTransactionTimeout time.Duration // after which an idle transaction may be ended; 0 for no limit
	Source                 []byte        // as the operator sent it
}

// Route returns the route of a database name.
func (d *Configuration) Route(database string) (Route, bool) {
	for _, r := range d.Routes {
		if r.Database == database {
			return r, true
		}
	}

	return Route{}, false
}

// Service returns the named service.
func (d *Configuration) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}

	return Service{}, false
}

// ConfigurationReader reads and checks an operator's configuration; its error means that the document is invalid.
type ConfigurationReader interface {
	Read(source []byte) (*Configuration, error)
}
