package labcatalog

import (
	"crypto/sha256"
	"fmt"
	"regexp"

	"laburnumlock.dev/lab"
)

// Limits for the values of configuration documents.
const (
	// MaxDrainGraceMS is the upper limit of leave_grace_ms, because a leaving upstream must get no new work after 5 s.
	MaxDrainGraceMS = 5000

	maxDeadlineMS           = 10 * 60 * 1000
	maxDeferrableDeadlineMS = 24 * 60 * 60 * 1000
	maxAgeMS                = 60 * 60 * 1000
	maxQueueLimit           = 100000
	maxWeight               = 1000
	maxRetentionMS          = 7 * 24 * 60 * 60 * 1000
	maxResultBytes          = 1 << 30
	minIterations           = 4096 // minimum required by RFC 7677
	maxIterations           = 1000000
	maxSaltBytes            = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

const nameAccepted = "1 to 63 of a-z, 0-9, _ and -, starting with a letter or digit"

// CheckName validates the name of a template or organisation.
func CheckName(name string) error {
	e := &ValidationError{}
	e.checkName("$.name", name)

	return e.orNil()
}

// ParseTemplate parses and validates the JSON document of a template. Its error is a ValidationError.
func ParseTemplate(data []byte) (*TemplateDocument, error) {
	t := &TemplateDocument{}
	if err := decode(data, t); err != nil {
		return nil, err
	}
	e := &ValidationError{}
	e.checkParameters("$.parameters", &t.Parameters)

	return t, e.orNil()
}

// ParseOrganisation parses and validates the JSON document of an organisation. Its error is a ValidationError.
func ParseOrganisation(data []byte) (*OrganisationDocument, error) {
	o := &OrganisationDocument{}
	if err := decode(data, o); err != nil {
		return nil, err
	}
	e := &ValidationError{}
	if o.Template != "" {
		e.checkName("$.template", o.Template)
	}
	if len(o.Databases) == 0 {
		e.add("$.databases", "no database", "array of at least 1 database name")
	}
	seen := map[string]bool{}
	for i, d := range o.Databases {
		path := fmt.Sprintf("$.databases[%d]", i)
		e.checkName(path, d)
		if seen[d] {
			e.add(path, fmt.Sprintf("%q is listed twice", d), "distinct database names")
		}
		seen[d] = true
	}
	e.checkCredential("$.credential", &o.Credential)
	e.checkParameters("$.parameters", &o.Parameters)

	return o, e.orNil()
}

func (e *ValidationError) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		e.add(path, fmt.Sprintf("%q is not a valid name", name), nameAccepted)
	}
}

func (e *ValidationError) checkRange(path string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		e.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

func (e *ValidationError) checkCredential(path string, c *lab.Credential) {
	e.checkRange(path+".iterations", int64(c.Iterations), minIterations, maxIterations)
	if n := len(c.Salt); n < 1 || n > maxSaltBytes {
		e.add(path+".salt", fmt.Sprintf("%d bytes", n), fmt.Sprintf("1 to %d bytes", maxSaltBytes))
	}
	for _, k := range []struct {
		name string
		key  []byte
	}{{"stored_key", c.StoredKey}, {"server_key", c.ServerKey}} {
		if n := len(k.key); n != sha256.Size {
			e.add(path+"."+k.name, fmt.Sprintf("%d bytes", n), fmt.Sprintf("%d bytes", sha256.Size))
		}
	}
}

// checkParameters validates each parameter that is set; 0 means that a parameter is not set.
func (e *ValidationError) checkParameters(path string, p *lab.Parameters) {
	for _, f := range []struct {
		name    string
		value   int64
		maximum int64
	}{
		{"leave_grace_ms", p.DrainGraceMS, MaxDrainGraceMS},
		{"read_deadline_ms", p.ReadDeadlineMS, maxDeadlineMS},
		{"write_deadline_ms", p.WriteDeadlineMS, maxDeadlineMS},
		{"may_wait_ms", p.DeferrableDeadlineMS, maxDeferrableDeadlineMS},
		{"queue_limit", p.QueueLimit, maxQueueLimit},
		{"weight", p.Weight, maxWeight},
		{"once_retention_ms", p.IdempotencyRetentionMS, maxRetentionMS},
		{"result_limit_bytes", p.ResultLimitBytes, maxResultBytes},
	} {
		e.checkRange(path+"."+f.name, f.value, 0, f.maximum)
	}
	seen := map[string]bool{}
	for i, c := range p.ReadClasses {
		classPath := fmt.Sprintf("%s.read_classes[%d]", path, i)
		e.checkName(classPath+".name", c.Name)
		e.checkRange(classPath+".max_age_ms", c.MaxStalenessMS, 0, maxAgeMS)
		if seen[c.Name] {
			e.add(classPath+".name", fmt.Sprintf("%q is listed twice", c.Name), "distinct class names")
		}
		seen[c.Name] = true
	}
}
