package labstandin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// executeSetting executes SET, SHOW, RESET and DISCARD ALL.
func (s *session) executeSetting(st *labsql.Statement) (*result, error) {
	switch st.Kind {
	case labsql.Set:
		s.executeSet(st)
		return &result{tag: "SET"}, nil
	case labsql.Reset:
		if st.Setting == "all" {
			clear(s.settings)
		}

		delete(s.settings, st.Setting)

		return &result{tag: "RESET"}, nil
	case labsql.Discard:
		if s.transaction != nil && !s.transaction.implicit {
			return nil, errInTransactionBlock
		}

		clear(s.settings)
		clear(s.preparedStatements)
		clear(s.portals)

		return &result{tag: "DISCARD ALL"}, nil
	}

	v, ok := s.settings[st.Setting]
	if !ok {
		v, ok = defaultSettings[st.Setting]
	}

	if !ok {
		return nil, errUnknownSetting
	}

	return &result{columns: resultColumns(st), tag: "SHOW", next: rowIterator([]value{{text: v}})}, nil
}

var defaultSettings = map[string]string{
	"server_version":                "17.0 (standin)",
	"application_name":              "",
	"client_encoding":               "UTF8",
	"timezone":                      "UTC",
	"datestyle":                     "ISO, MDY",
	"transaction_isolation":         "read committed",
	"default_transaction_read_only": "off",
	"statement_timeout":             "0",
	"search_path":                   `"$user", public`,
}

// reportedSettings contains the settings whose changes PostgreSQL reports to the client. It maps the name of each
// setting to the name that ParameterStatus messages use.
var reportedSettings = map[string]string{
	"application_name": "application_name",
	"client_encoding":  "client_encoding",
	"timezone":         "TimeZone",
	"datestyle":        "DateStyle",
}

func (s *session) executeSet(st *labsql.Statement) {
	if st.Local {
		// SET LOCAL has no effect outside a transaction block.
		if s.transaction.implicit {
			return
		}

		if s.savedSettings == nil {
			s.savedSettings = map[string]string{}
		}

		if _, saved := s.savedSettings[st.Setting]; !saved {
			s.savedSettings[st.Setting] = s.settings[st.Setting]
		}
	}

	s.settings[st.Setting] = st.Value.Text

	if name, ok := reportedSettings[st.Setting]; ok {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: st.Value.Text})
	}
}

func (s *session) restoreSettings() {
	for k, v := range s.savedSettings {
		if v == "" {
			delete(s.settings, k)
		} else {
			s.settings[k] = v
		}
	}

	s.savedSettings = nil
}
