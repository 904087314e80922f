package labcatalog

import (
	"bytes"
	"fmt"
	"slices"
	"sync"

	"laburnumlock.dev/lab"
)

// Template is a stored template.
type Template struct {
	Name       string           `json:"name"     msgpack:"n"`
	Document   TemplateDocument `json:"document" msgpack:"d"`
	LastChange ChangeInfo       `json:"changed"  msgpack:"c"`
	Deleted    bool             `json:"deleted"  msgpack:"z"`
}

// Organisation is a stored organisation. The parameters of its template aren't merged into it.
type Organisation struct {
	Name       string               `json:"name"     msgpack:"n"`
	Document   OrganisationDocument `json:"document" msgpack:"d"`
	LastChange ChangeInfo           `json:"changed"  msgpack:"c"`
	Deleted    bool                 `json:"deleted"  msgpack:"z"`
}

// configuration holds templates and organisations. Deleted ones are kept, so that their versions never decrease.
type configuration struct {
	lock          sync.RWMutex
	version       uint64
	templates     map[string]Template
	organisations map[string]Organisation
	merged        map[string]*lab.Organisation // organisations as proxies receive them
	responses     responseCache
}

// Version returns the version of the newest accepted configuration change.
func (c *Catalog) Version() uint64 {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()

	return c.configuration.version
}

// Template returns a template, even if it is deleted.
func (c *Catalog) Template(name string) (Template, bool) {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()
	t, ok := c.configuration.templates[name]

	return t, ok
}

// StoredOrganisation returns an organisation as operators wrote it, even if it is deleted.
func (c *Catalog) StoredOrganisation(name string) (Organisation, bool) {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()
	o, ok := c.configuration.organisations[name]

	return o, ok
}

// Templates returns the names of all templates that are not deleted, in ascending order.
func (c *Catalog) Templates() []string {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()

	return c.configuration.templateNames()
}

// VersionAt returns the configuration version at a log index. It returns 0 if the catalog no longer has the response to
// the change that created this version.
func (c *Catalog) VersionAt(index uint64) uint64 {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()

	return c.configuration.responses.versionAt(index)
}

// Organisation returns an organisation as proxies receive it. The result must not be modified.
func (c *Catalog) Organisation(name string) (*lab.Organisation, bool) {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()
	o, ok := c.configuration.merged[name]

	return o, ok
}

// ResponseTo returns the response to the change with the given id.
func (c *Catalog) ResponseTo(changeID string) (ChangeResponse, bool) {
	c.configuration.lock.RLock()
	defer c.configuration.lock.RUnlock()
	r, ok := c.configuration.responses.lookup(changeID)

	return r.Response, ok
}

func (c *Catalog) applyChange(index uint64, change *Change, proposedAt int64) ChangeResponse {
	c.configuration.lock.Lock()
	defer c.configuration.lock.Unlock()
	f := &c.configuration
	digest := change.digest()
	if first, repeated := f.responses.lookup(change.ID); repeated {
		if !bytes.Equal(first.Digest, digest) {
			return change.rejected("the change id was used before for a different change")
		}

		return first.Response
	}
	response := f.decide(change)
	if response.Outcome == OutcomeAccepted {
		f.version++
		response.Version = f.version
		c.storeObject(index, change)
	}
	response.Index = index
	f.responses.add(cachedResponse{Response: response, Digest: digest})
	c.audit.append(AuditRecord{
		Index: index, ProposedAt: proposedAt, Operator: change.Operator, Action: change.action(), Object: change.Kind + "/" + change.Name,
		ChangeID: change.ID, BaseVersion: change.BaseVersion, Version: response.Version, Outcome: response.Outcome, Digest: digest,
	})

	return response
}

// decide checks a change against the current state and returns the response to it.
func (f *configuration) decide(c *Change) ChangeResponse {
	last, reason := f.lastChange(c)
	switch {
	case reason != "":
		return c.rejected(reason)
	case last.Version != c.BaseVersion:
		return c.conflict(last)
	}
	if reason := f.checkReferences(c); reason != "" {
		return c.rejected(reason)
	}

	return ChangeResponse{ChangeID: c.ID, Outcome: OutcomeAccepted}
}

func (f *configuration) lastChange(c *Change) (ChangeInfo, string) {
	switch {
	case c.ID == "" || c.Operator == "" || c.Name == "":
		return ChangeInfo{}, "a change needs an id, an operator and an object name"
	case c.Kind == KindTemplate && c.Organisation == nil:
		return f.templates[c.Name].LastChange, ""
	case c.Kind == KindOrganisation && c.Template == nil:
		return f.organisations[c.Name].LastChange, ""
	}

	return ChangeInfo{}, fmt.Sprintf("kind %q does not match the document; accepted: %s, %s", c.Kind, KindTemplate, KindOrganisation)
}

// checkReferences checks that the objects to which a change refers exist, and that an object to be deleted is not in
// use. It returns the reason for a rejection, or an empty string.
func (f *configuration) checkReferences(c *Change) string {
	switch {
	case c.Organisation != nil && c.Organisation.Template != "":
		if t, ok := f.templates[c.Organisation.Template]; !ok || t.Deleted {
			return fmt.Sprintf("$.template: no template %q; accepted: %q", c.Organisation.Template, f.templateNames())
		}
	case c.Kind == KindTemplate && c.Template == nil:
		if t, ok := f.templates[c.Name]; !ok || t.Deleted {
			return "no such template"
		}
		if users := f.organisationsOf(c.Name); len(users) > 0 {
			return fmt.Sprintf("template is used by %d organisations, first %s", len(users), users[0])
		}
	case c.Kind == KindOrganisation && c.Organisation == nil:
		if o, ok := f.organisations[c.Name]; !ok || o.Deleted {
			return "no such organisation"
		}
	}

	return ""
}

// organisationsOf returns the organisations that use a template, in ascending order.
func (f *configuration) organisationsOf(template string) []string {
	var names []string
	for n, o := range f.organisations {
		if !o.Deleted && o.Document.Template == template {
			names = append(names, n)
		}
	}
	slices.Sort(names)

	return names
}

func (f *configuration) templateNames() []string {
	names := []string{}
	for n, t := range f.templates {
		if !t.Deleted {
			names = append(names, n)
		}
	}
	slices.Sort(names)

	return names
}

func (c *Catalog) storeObject(index uint64, change *Change) {
	f := &c.configuration
	info := ChangeInfo{Operator: change.Operator, ChangeID: change.ID, Version: f.version}
	if change.Kind == KindTemplate {
		t := Template{Name: change.Name, LastChange: info, Deleted: change.Template == nil}
		if change.Template != nil {
			t.Document = *change.Template
		}
		f.templates[change.Name] = t
		for _, n := range f.organisationsOf(change.Name) {
			c.publish(index, n)
		}

		return
	}
	o := Organisation{Name: change.Name, LastChange: info, Deleted: change.Organisation == nil}
	if change.Organisation != nil {
		o.Document = *change.Organisation
	}
	f.organisations[change.Name] = o
	c.publish(index, change.Name)
}

// publish updates the merged form of an organisation that proxies receive.
func (c *Catalog) publish(index uint64, name string) {
	f := &c.configuration
	f.merged[name] = f.mergeOrganisation(name, index)
	c.changes.add(index, objectOrganisation, name)
}

func (f *configuration) mergeOrganisation(name string, index uint64) *lab.Organisation {
	o := f.organisations[name]

	return &lab.Organisation{
		Name: name, Template: o.Document.Template, Databases: o.Document.Databases, Credential: o.Document.Credential,
		Parameters: merge(f.templates[o.Document.Template].Document.Parameters, o.Document.Parameters),
		Index:      index, Deleted: o.Deleted,
	}
}

func (c *Change) action() string {
	if c.Template == nil && c.Organisation == nil {
		return "delete"
	}

	return "put"
}
