package labsession

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// change is one SET or RESET that an upstream accepted.
type change struct {
	setting labstatement.Setting
	text    string
}

// settings are the parameters that a session has set, replayed at the start of each of its transactions.
type settings struct {
	startup []change // from startup; RESET returns to these
	active  []change
}

// apply remembers a change; keep is false when fresh upstream connections have the value already.
func (s *settings) apply(c change, keep bool) {
	if c.setting.Reset && c.setting.Name == "all" {
		s.active = slices.Clone(s.startup)

		return
	}

	same := func(o change) bool { return o.setting.Name == c.setting.Name }

	s.active = slices.DeleteFunc(slices.Clone(s.active), same)
	if !c.setting.Reset {
		if keep {
			s.active = append(s.active, c)
		}

		return
	}

	if i := slices.IndexFunc(s.startup, same); i >= 0 {
		s.active = append(s.active, s.startup[i])
	}
}

// texts returns the statements that restore the settings.
func (s *settings) texts() []string {
	texts := make([]string, 0, len(s.active))
	for _, c := range s.active {
		texts = append(texts, c.text)
	}

	return texts
}

// quoteSetting returns the SET statement for a startup parameter.
func quoteSetting(name, value string) change {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"

	return change{
		setting: labstatement.Setting{Name: strings.ToLower(name), Value: value},
		text:    `SET "` + strings.ReplaceAll(name, `"`, `""`) + `" = ` + quoted,
	}
}

// refusedSetting returns an error for parameters that the proxy can't keep for a session.
func refusedSetting(s labstatement.Setting) *failure {
	if s.Reset {
		return nil
	}

	switch s.Name {
	case "client_encoding", "names":
		switch strings.ToUpper(strings.Trim(s.Value, `'"`)) {
		case "UTF8", "UTF-8", "UNICODE", "SQL_ASCII":
			return nil
		}

		return &failure{codeNotSupported, "client_encoding " + s.Value + " is not supported through the proxy", "use UTF8"}
	case "characteristics", "default_transaction_isolation", "default_transaction_read_only",
		"default_transaction_deferrable":
		// Transactions run on shared connections, where the default can't be replayed before BEGIN in the same request.
		return &failure{
			codeNotSupported, "a default transaction mode is not supported through the proxy",
			"give the mode with BEGIN",
		}
	case "standard_conforming_strings":
		if strings.EqualFold(s.Value, "on") {
			return nil
		}

		return &failure{codeNotSupported, "standard_conforming_strings must be on", ""}
	}

	return nil
}
