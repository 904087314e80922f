package labmetrics

import (
	"expvar"
	"net/http"
)

// Handler serves the variables of one instance as JSON at /debug/vars. They are not registered globally, so that
// several instances can live in one process.
func Handler(variables *expvar.Map) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(variables.String())) // the reader may have gone
	})

	return mux
}
