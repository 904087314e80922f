package lab

// AdmissionClass is the class by which admission ranks a request.
type AdmissionClass string

// The admission classes.
const (
	ClassInteractive AdmissionClass = "prompt"   // reads that need a prompt response
	ClassWrite       AdmissionClass = "write"    // writes
	ClassDeferrable  AdmissionClass = "may_wait" // work that may be delayed but not lost, such as recording returned items
)

// ReadClass is a named class of reads with the maximum staleness that they accept.
type ReadClass struct {
	Name string `json:"name"       msgpack:"n"`
	// MaxStalenessMS is the maximum staleness in milliseconds. With 0, only the session's minimum position limits how
	// stale the data may be.
	MaxStalenessMS int64 `json:"max_age_ms" msgpack:"a"`
}

// Parameters are the settings of an organisation. Settings that the organisation omits come from its template. Fields
// whose names end in MS are in milliseconds.
type Parameters struct {
	ReadClasses            []ReadClass `json:"read_classes,omitempty"       msgpack:"rc"`
	DrainGraceMS           int64       `json:"leave_grace_ms,omitempty"     msgpack:"lg"` // drain grace period, up to 5000
	ReadDeadlineMS         int64       `json:"read_deadline_ms,omitempty"   msgpack:"rd"` // time limit of a read
	WriteDeadlineMS        int64       `json:"write_deadline_ms,omitempty"  msgpack:"wd"` // time limit of a write
	DeferrableDeadlineMS   int64       `json:"may_wait_ms,omitempty"        msgpack:"mw"` // time limit of deferrable work
	QueueLimit             int64       `json:"queue_limit,omitempty"        msgpack:"ql"` // maximum queue size per member
	Weight                 int64       `json:"weight,omitempty"             msgpack:"w"`  // relative share of the slots
	IdempotencyRetentionMS int64       `json:"once_retention_ms,omitempty"  msgpack:"or"` // retention of idempotency keys
	ResultLimitBytes       int64       `json:"result_limit_bytes,omitempty" msgpack:"rl"` // result buffer size per client
}

// Credential is the SCRAM-SHA-256 verifier of a client's password.
type Credential struct {
	Iterations int    `json:"iterations" msgpack:"i"`
	Salt       []byte `json:"salt"       msgpack:"s"`
	StoredKey  []byte `json:"stored_key" msgpack:"k"`
	ServerKey  []byte `json:"server_key" msgpack:"v"`
}

// Organisation is a customer. Its Parameters include the values taken from its template.
type Organisation struct {
	Name       string     `json:"name"       msgpack:"n"` // user name that clients log in with
	Template   string     `json:"template"   msgpack:"t"`
	Databases  []string   `json:"databases"  msgpack:"d"`
	Credential Credential `json:"credential" msgpack:"c"`
	Parameters Parameters `json:"parameters" msgpack:"p"`
	Index      uint64     `json:"index"      msgpack:"x"` // log index of the last change of this organisation
	Deleted    bool       `json:"deleted"    msgpack:"z"`
}

// ReadClass returns the read class with the given name.
func (o *Organisation) ReadClass(name string) (ReadClass, bool) {
	for _, c := range o.Parameters.ReadClasses {
		if c.Name == name {
			return c, true
		}
	}

	return ReadClass{}, false
}
