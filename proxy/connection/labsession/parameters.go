package labsession

import (
	"maps"
	"strconv"
	"strings"
)

// defaultParameters are the parameter values reported at startup unless Server.Parameters overrides them.
var defaultParameters = map[string]string{
	"server_version":              "16.0 (laburnumlock)",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"TimeZone":                    "UTC",
	"IntervalStyle":               "postgres",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"is_superuser":                "off",
}

// freshParameters returns the parameter values of a new upstream connection.
func (v *Server) freshParameters() map[string]string {
	values := maps.Clone(defaultParameters)
	maps.Copy(values, v.Parameters)

	return values
}

// matchesFresh reports whether a parameter value equals the value on a new upstream connection. Such a parameter is not
// replayed, since each replay requires a reset of the connection after the transaction.
func (v *Server) matchesFresh(name, value string) bool {
	value = strings.ToLower(strings.Trim(value, `'"`))

	switch name {
	case "client_encoding":
		return value == "utf8" || value == "utf-8" || value == "unicode"
	case "extra_float_digits":
		n, err := strconv.Atoi(value)

		return err == nil && n >= 1 && n <= 3 // since PostgreSQL 12, the values 1 to 3 have the same effect
	case "application_name":
		return true // not set on upstream connections, which many applications share
	case "datestyle":
		style, _, _ := strings.Cut(value, ",")
		current := strings.ToLower(v.freshParameter("DateStyle"))

		return value == current || style == value && strings.HasPrefix(current, style+",")
	case "timezone":
		return value == strings.ToLower(v.freshParameter("TimeZone"))
	}

	return false
}

func (v *Server) freshParameter(name string) string {
	if value, ok := v.Parameters[name]; ok {
		return value
	}

	return defaultParameters[name]
}
