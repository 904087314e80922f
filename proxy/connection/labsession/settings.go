package labsession

import (
	"slices"
	"strings"

	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// settingChange is a SET or RESET statement that an upstream has run, or the SET statement for a startup parameter.
type settingChange struct {
	setting labstatement.Setting
	text    string // SQL text of the statement
}

// settings holds the parameters that a session has set. They are replayed at the start of each transaction.
type settings struct {
	startup []settingChange // parameters set at startup; RESET restores them
	active  []settingChange // parameters replayed at the start of each transaction
}

// apply records a change. If replay is set, the new value is replayed in later transactions. It need not be replayed if
// it equals the value on a new upstream connection.
func (s *settings) apply(c settingChange, replay bool) {
	if c.setting.Reset && c.setting.Name == "all" {
		s.active = slices.Clone(s.startup)

		return
	}

	sameName := func(o settingChange) bool { return o.setting.Name == c.setting.Name }

	s.active = slices.DeleteFunc(slices.Clone(s.active), sameName)
	if !c.setting.Reset {
		if replay {
			s.active = append(s.active, c)
		}

		return
	}

	if i := slices.IndexFunc(s.startup, sameName); i >= 0 {
		s.active = append(s.active, s.startup[i])
	}
}

// statements returns the SET statements that restore the settings on an upstream connection.
func (s *settings) statements() []string {
	texts := make([]string, 0, len(s.active))
	for _, c := range s.active {
		texts = append(texts, c.text)
	}

	return texts
}

// startupSetting returns the SET statement for a startup parameter.
func startupSetting(name, value string) settingChange {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"

	return settingChange{
		setting: labstatement.Setting{Name: strings.ToLower(name), Value: value},
		text:    `SET "` + strings.ReplaceAll(name, `"`, `""`) + `" = ` + quoted,
	}
}

// checkSetting returns an error for a parameter change that the proxy does not support.
func checkSetting(s labstatement.Setting) *failure {
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
		// Since connections are shared, the session replays its settings after the BEGIN of each transaction. A default
		// mode would have no effect there, since BEGIN has already chosen the mode of the transaction.
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
