package labfront

import "github.com/rs/zerolog"

// logger writes gnet's warnings and errors to the log of the process.
type logger struct {
	log zerolog.Logger
}

func (l logger) Debugf(string, ...any) {}

func (l logger) Infof(string, ...any) {}

func (l logger) Warnf(format string, arguments ...any) {
	l.log.Warn().Str("source", "gnet").Msgf(format, arguments...)
}

func (l logger) Errorf(format string, arguments ...any) {
	l.log.Error().Str("source", "gnet").Msgf(format, arguments...)
}

func (l logger) Fatalf(format string, arguments ...any) {
	l.log.Error().Str("source", "gnet").Msgf(format, arguments...)
}
