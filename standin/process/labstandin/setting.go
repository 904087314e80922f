package labstandin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// setting executes statements about session settings.
func (s *session) setting(st *labsql.Statement) (*result, error) {
	switch st.Kind {
	case labsql.Set:
		s.set(st)
		return &result{tag: "SET"}, nil
	case labsql.Reset:
		if st.Setting == "all" {
			clear(s.settings)
		}

		delete(s.settings, st.Setting)

		return &result{tag: "RESET"}, nil
	case labsql.Discard:
		if s.block != nil && !s.block.implicit {
			return nil, errInBlock
		}

		clear(s.settings)
		clear(s.statements)
		clear(s.portals)

		return &result{tag: "DISCARD ALL"}, nil
	}

	v, ok := s.settings[st.Setting]
	if !ok {
		v, ok = defaults[st.Setting]
	}

	if !ok {
		return nil, errNoSetting
	}

	return &result{columns: describe(st), tag: "SHOW", next: rows([]value{{text: v}})}, nil
}

var defaults = map[string]string{
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

// reported maps settings that PostgreSQL reports on change to their names in ParameterStatus.
var reported = map[string]string{
	"application_name": "application_name",
	"client_encoding":  "client_encoding",
	"timezone":         "TimeZone",
	"datestyle":        "DateStyle",
}

func (s *session) set(st *labsql.Statement) {
	if st.Local {
		// Outside a transaction block SET LOCAL has no effect.
		if s.block.implicit {
			return
		}

		if s.local == nil {
			s.local = map[string]string{}
		}

		if _, saved := s.local[st.Setting]; !saved {
			s.local[st.Setting] = s.settings[st.Setting]
		}
	}

	s.settings[st.Setting] = st.Value.Text

	if name, ok := reported[st.Setting]; ok {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: st.Value.Text})
	}
}

func (s *session) restoreSettings() {
	for k, v := range s.local {
		if v == "" {
			delete(s.settings, k)
		} else {
			s.settings[k] = v
		}
	}

	s.local = nil
}
