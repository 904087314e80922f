package lab

import (
	"time"

	"github.com/cockroachdb/errors"
)

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
	Public           bool          // clients need no key
}

// Service describes the members that hold one set of databases.
type Service struct {
	Name           string
	MaxConnections int // maximum number of connections that each member accepts, from all processes together
	SyncReplicas   int // number of replicas that must have received a commit before it is acknowledged
}

// OrganisationPolicy is what a configuration says of one organisation.
type OrganisationPolicy struct {
	Name     string
	Keys     []string // keys by which clients of the organisation identify themselves
	Priority int      // 0 is the highest
	Rate     float64  // operations per second that the organisation may run, summed over all proxies; 0 for no limit
	Burst    float64  // operations that it may run at once beyond Rate
}

// Configuration is one version of the whole configuration document.
type Configuration struct {
	Version                uint64
	Routes                 []Route
	Services               []Service
	Organisations          []OrganisationPolicy
	KeysRequired           bool          // the document lists organisations, so clients of routes that aren't public need a key
	IdleTransactionTimeout time.Duration // idle time after which a transaction may be ended; 0 for no limit
	Source                 []byte        // text of the document as the operator sent it

	organisationByName map[string]int // index in Organisations
	organisationByKey  map[string]int // index in Organisations
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

// IndexOrganisations prepares OrganisationOfKey and Organisation after Organisations was set. It returns an error if two
// organisations have the same name or share a key.
func (c *Configuration) IndexOrganisations() error {
	c.organisationByName, c.organisationByKey = map[string]int{}, map[string]int{}

	for i, o := range c.Organisations {
		if _, ok := c.organisationByName[o.Name]; ok {
			return errors.Newf("organisation %q is listed twice", o.Name)
		}

		c.organisationByName[o.Name] = i

		for _, k := range o.Keys {
			if other, ok := c.organisationByKey[k]; ok && other != i {
				return errors.Newf("organisations %q and %q share a key", c.Organisations[other].Name, o.Name)
			}

			c.organisationByKey[k] = i
		}
	}

	return nil
}

// OrganisationOfKey returns the organisation that holds the key.
func (c *Configuration) OrganisationOfKey(key string) (OrganisationPolicy, bool) {
	i, ok := c.organisationByKey[key]
	if !ok || key == "" {
		return OrganisationPolicy{}, false
	}

	return c.Organisations[i], true
}

// Organisation returns the named organisation.
func (c *Configuration) Organisation(name string) (OrganisationPolicy, bool) {
	i, ok := c.organisationByName[name]
	if !ok {
		return OrganisationPolicy{}, false
	}

	return c.Organisations[i], true
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
