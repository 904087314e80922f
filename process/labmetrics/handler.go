package labmetrics

import (
	"expvar"
	"net/http"
)

// Handler serves the variables of one instance as JSON at /debug/vars. The variables are not registered globally, so
// that one process can run several instances.
func Handler(variables *expvar.Map) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(variables.String())) // fails if the client has disconnected
	})

	return mux
}
