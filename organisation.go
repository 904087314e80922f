package lab

// AdmissionClass is the kind of work a request belongs to for admission.
type AdmissionClass string

// The classes of work.
const (
	ClassInteractive AdmissionClass = "prompt"   // reads that must be answered promptly
	ClassWrite       AdmissionClass = "write"    // writes
	ClassDeferrable  AdmissionClass = "may_wait" // work that may be delayed but never lost, such as return notes
)

// ReadClass names a kind of read and the age of data that it accepts.
type ReadClass struct {
	Name           string `json:"name"       msgpack:"n"`
	MaxStalenessMS int64  `json:"max_age_ms" msgpack:"a"` // milliseconds; 0 accepts no stale data beyond the session's floor
}

// Parameters are the values an organisation may set or take over from its template.
type Parameters struct {
	ReadClasses            []ReadClass `json:"read_classes,omitempty"       msgpack:"rc"`
	DrainGraceMS           int64       `json:"leave_grace_ms,omitempty"     msgpack:"lg"` // milliseconds, at most 5000
	ReadDeadlineMS         int64       `json:"read_deadline_ms,omitempty"   msgpack:"rd"` // milliseconds
	WriteDeadlineMS        int64       `json:"write_deadline_ms,omitempty"  msgpack:"wd"` // milliseconds
	DeferrableDeadlineMS   int64       `json:"may_wait_ms,omitempty"        msgpack:"mw"` // milliseconds
	QueueLimit             int64       `json:"queue_limit,omitempty"        msgpack:"ql"` // waiting requests per member
	Weight                 int64       `json:"weight,omitempty"             msgpack:"w"`  // share between organisations
	IdempotencyRetentionMS int64       `json:"once_retention_ms,omitempty"  msgpack:"or"` // milliseconds a request name is kept
	ResultLimitBytes       int64       `json:"result_limit_bytes,omitempty" msgpack:"rl"` // buffered answer bytes per caller
}

// Credential is the SCRAM-SHA-256 verifier of a caller's password.
type Credential struct {
	Iterations int    `json:"iterations" msgpack:"i"`
	Salt       []byte `json:"salt"       msgpack:"s"`
	StoredKey  []byte `json:"stored_key" msgpack:"k"`
	ServerKey  []byte `json:"server_key" msgpack:"v"`
}

// Organisation is a customer with its template's parameters already merged in.
type Organisation struct {
	Name       string     `json:"name"       msgpack:"n"` // the user name callers log in with
	Template   string     `json:"template"   msgpack:"t"`
	Databases  []string   `json:"databases"  msgpack:"d"`
	Credential Credential `json:"credential" msgpack:"c"`
	Parameters Parameters `json:"parameters" msgpack:"p"`
	Index      uint64     `json:"index"      msgpack:"x"` // log index of the last change
	Deleted    bool       `json:"deleted"    msgpack:"z"`
}

// ReadClass returns the organisation's read class of the given name.
func (o *Organisation) ReadClass(name string) (ReadClass, bool) {
	for _, c := range o.Parameters.ReadClasses {
		if c.Name == name {
			return c, true
		}
	}

	return ReadClass{}, false
}
