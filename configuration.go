package lab

import "time"

// Consistency defines which commits a read must observe.
type Consistency uint8

// The kinds of consistency.
const (
	ConsistencyPrimary Consistency = iota + 1 // a read observes every acknowledged commit
	ConsistencyBounded                        // a read observes every commit older than the maximum staleness
	ConsistencySession                        // as ConsistencyBounded; a read also observes every commit of its session
)

// Route defines how the proxies execute the statements of sessions with one database name.
type Route struct {
	Name             string
	Database         string // database name that clients connect to
	PathPrefix       string // distinguishes routes that have the same database name
	Service          string // name of the service whose members hold the data
	Consistency      Consistency
	StatementTimeout time.Duration // time limit for a single statement
	TargetLatency    time.Duration // time within which an operation, including its retries, should end
	MaxStaleness     time.Duration // maximum age of the data that a read accepts
	Priority         int           // priority of the statements; 0 is the highest
}

// Service describes the members that hold one set of databases.
type Service struct {
	Name           string
	MaxConnections int // maximum number of connections that each member accepts, from all processes together
	SyncReplicas   int // number of replicas that must have received a commit before it is acknowledged
}

// Configuration is one version of the whole configuration document.
type Configuration struct {
	Version                uint64
	Routes                 []Route
	Services               []Service
	IdleTransactionTimeout time.Duration // idle time after which a transaction may be ended; 0 for no limit
	Source                 []byte        // text of the document as the operator sent it
}

// Route returns the first route with the database name.
func (c *Configuration) Route(database string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Database == database {
			return r, true
		}
	}

	return Route{}, false
}

// Service returns the named service.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}

	return Service{}, false
}

// ConfigurationReader decodes and validates the configuration document of an operator. An error means that the document
// is invalid.
type ConfigurationReader interface {
	Read(source []byte) (*Configuration, error)
}
