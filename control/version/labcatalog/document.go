package labcatalog

import "laburnumlock.dev/lab"

// TemplateDocument is the JSON document of a template as operators write it.
type TemplateDocument struct {
	Parameters lab.Parameters `json:"parameters" msgpack:"p"`
}

// OrganisationDocument is the JSON document of an organisation as operators write it. Parameters that it omits come
// from its template.
type OrganisationDocument struct {
	Template   string         `json:"template"   msgpack:"t"`
	Databases  []string       `json:"databases"  msgpack:"d"`
	Credential lab.Credential `json:"credential" msgpack:"c"`
	Parameters lab.Parameters `json:"parameters" msgpack:"p"`
}

// merge returns the template's parameters overridden by those that the organisation sets.
func merge(template, own lab.Parameters) lab.Parameters {
	merged := own
	merged.ReadClasses = mergeClasses(template.ReadClasses, own.ReadClasses)
	for _, f := range []struct{ value, inherited *int64 }{
		{&merged.DrainGraceMS, &template.DrainGraceMS},
		{&merged.ReadDeadlineMS, &template.ReadDeadlineMS},
		{&merged.WriteDeadlineMS, &template.WriteDeadlineMS},
		{&merged.DeferrableDeadlineMS, &template.DeferrableDeadlineMS},
		{&merged.QueueLimit, &template.QueueLimit},
		{&merged.Weight, &template.Weight},
		{&merged.IdempotencyRetentionMS, &template.IdempotencyRetentionMS},
		{&merged.ResultLimitBytes, &template.ResultLimitBytes},
	} {
		if *f.value == 0 {
			*f.value = *f.inherited
		}
	}

	return merged
}

// mergeClasses returns the read classes of the template and of the organisation. If both have a class of the same name,
// it returns only the class of the organisation.
func mergeClasses(template, own []lab.ReadClass) []lab.ReadClass {
	var merged []lab.ReadClass
	for _, t := range template {
		if !hasClass(own, t.Name) {
			merged = append(merged, t)
		}
	}

	return append(merged, own...)
}

func hasClass(list []lab.ReadClass, name string) bool {
	for _, c := range list {
		if c.Name == name {
			return true
		}
	}

	return false
}
