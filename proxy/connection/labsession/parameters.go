package labsession

import (
	"maps"
	"strconv"
	"strings"
)

// defaultParameters are the parameter values that a session starts with.
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

// freshParameters returns the parameter values of a fresh upstream connection.
func (v *Server) freshParameters() map[string]string {
	values := maps.Clone(defaultParameters)
	maps.Copy(values, v.Parameters)

	return values
}

// matchesFresh reports whether a parameter has the value that a fresh upstream connection has anyway, so that it need not
// be replayed: each replay costs a reset of the connection after the transaction.
func (v *Server) matchesFresh(name, value string) bool {
	value = strings.ToLower(strings.Trim(value, `'"`))

	switch name {
	case "client_encoding":
		return value == "utf8" || value == "utf-8" || value == "unicode"
	case "extra_float_digits":
		n, err := strconv.Atoi(value)

		return err == nil && n >= 1 && n <= 3 // all the same since PostgreSQL 12
	case "application_name":
		return true // shown by the proxy only; a shared connection has no single application
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
