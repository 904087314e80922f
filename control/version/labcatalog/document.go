package labcatalog

import "laburnumlock.dev/lab"

// TemplateDocument is the operators' JSON form of a template.
type TemplateDocument struct {
	Parameters lab.Parameters `json:"parameters" msgpack:"p"`
}

// OrganisationDocument is the operators' JSON form of an organisation; parameters it leaves out come from its template.
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

// mergeClasses replaces the template's read classes by own ones of the same name and adds the others.
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
