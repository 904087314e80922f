package labrecovery

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Recovered counts the panics that were recovered.
var Recovered expvar.Int

// Recover ends a panic, logs it with its stack and calls onPanic. It must be deferred directly. It is only for code whose
// state ends with the connection or the call; a process whose other state may be half changed must stop.
func Recover(log zerolog.Logger, what string, onPanic func()) {
	v := recover()
	if v == nil {
		return
	}

	Recovered.Add(1)
	log.Error().Str("in", what).Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("panic_recovered")
	onPanic()
}
