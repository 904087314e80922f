package labsession

import (
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Names of the parameters that the proxy handles itself. A client sets them at startup or with SET.
const (
	parameterToken          = labstatement.ParameterPrefix + "token"
	parameterSession        = labstatement.ParameterPrefix + "session"
	parameterIdempotencyKey = labstatement.ParameterPrefix + "once"
	parameterClass          = labstatement.ParameterPrefix + "class"
	parameterReadClass      = labstatement.ParameterPrefix + "read_class"
)

// classDeferrable is the only value of the class parameter. It selects lab.ClassDeferrable.
const classDeferrable = "may_wait"

// options holds the values of the parameters that the proxy handles itself.
type options struct {
	idempotencyKey string
	class          string
	readClass      string
}

// setProxyParameter applies SET or RESET of a parameter that the proxy handles itself.
func (s *Session) setProxyParameter(c labstatement.Setting) *failure {
	if c.Reset {
		c.Value = ""
	}

	target := &s.options
	if c.Local {
		if s.block.status() != statusActive || s.implicitBlock {
			return &failure{codeNoTransaction, "SET LOCAL " + c.Name + " can only be used in transaction blocks", ""}
		}

		if s.block.transaction != nil {
			return &failure{codeNotInState, "SET LOCAL " + c.Name + " must come before the first statement", ""}
		}

		target = &s.block.localOptions
	}

	if c.Value != "" && c.Name != parameterToken && !labstatement.ValidName(c.Value) {
		return &failure{codeInvalidParameter, "invalid value for parameter " + c.Name, ""}
	}

	return s.assignOption(target, c)
}

func (s *Session) assignOption(target *options, c labstatement.Setting) *failure {
	switch c.Name {
	case parameterToken:
		return s.mergeToken(c)
	case parameterIdempotencyKey:
		if !c.Local {
			return &failure{codeInvalidParameter, "an idempotency key applies to one transaction", "use SET LOCAL"}
		}

		target.idempotencyKey = c.Value
	case parameterClass:
		if c.Value != "" && c.Value != classDeferrable {
			return &failure{codeInvalidParameter, "unknown class " + c.Value, "the only valid class is may_wait"}
		}

		target.class = c.Value
	case parameterReadClass:
		if f := s.checkReadClass(c.Value); f != nil {
			return f
		}

		target.readClass = c.Value
	default:
		return &failure{codeInvalidParameter, "unknown parameter " + c.Name, ""}
	}

	return nil
}

// mergeToken raises the session's minimum positions to at least those of a token that the client has given with SET.
func (s *Session) mergeToken(c labstatement.Setting) *failure {
	if c.Local || c.Reset {
		return &failure{codeInvalidParameter, "the session token can only be set for the session", ""}
	}

	t, err := s.server.TokenCodec.Decode(c.Value)
	if err != nil {
		return &failure{codeInvalidParameter, err.Error(), "present the last token that a proxy reported"}
	}

	s.token = s.token.Merge(t, s.server.history)

	return nil
}

func (s *Session) checkReadClass(name string) *failure {
	if name == "" {
		return nil
	}

	if o, ok := s.server.Catalog.Organisation(s.organisation); ok {
		if _, ok = o.ReadClass(name); ok {
			return nil
		}
	}

	return &failure{codeInvalidParameter, "unknown read class " + name, ""}
}
