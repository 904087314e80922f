package lablog

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines at or above the named level to out. It fails on an unknown level.
func New(out io.Writer, level, instance string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Newf("parse log level: %w", err)
	}

	w := zerolog.ConsoleWriter{
		Out:              out,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  formatPair("time"),
		FormatLevel:      formatPair("level"),
		FormatMessage:    formatPair("event"),
		FormatFieldName:  func(i any) string { return fmt.Sprintf("%s=", i) },
		FormatFieldValue: formatValue,
	}

	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", instance).Logger(), nil
}

func formatPair(key string) zerolog.Formatter {
	return func(i any) string {
		if i == nil {
			return ""
		}

		return key + "=" + formatValue(i)
	}
}

// formatValue formats a value and quotes it if it is empty or contains characters that would break the key=value form.
func formatValue(i any) string {
	s := fmt.Sprint(i)
	if b, ok := i.([]byte); ok {
		s = string(b)
	}

	if s == "" || (strings.ContainsAny(s, " =\"\n\t") && !strings.HasPrefix(s, "\"")) {
		return fmt.Sprintf("%q", s)
	}

	return s
}
