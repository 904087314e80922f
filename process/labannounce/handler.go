package labannounce

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxBodyBytes limits the size of one announcement.
const maxBodyBytes = 16 << 10

// Handler returns the HTTP handler of POST /v1/announcements. It calls accept with each valid announcement.
func Handler(accept func(ctx context.Context, announcement lab.Announcement) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", func(w http.ResponseWriter, r *http.Request) {
		a, err := Read(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		if err := accept(r.Context(), a); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)

			return
		}

		w.WriteHeader(http.StatusNoContent)
	})

	return mux
}

// Read decodes and checks the announcement in the body of a request.
func Read(w http.ResponseWriter, r *http.Request) (lab.Announcement, error) {
	var a lab.Announcement

	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(&a); err != nil {
		return a, errors.Newf("decode announcement: %w", err)
	}

	return a, Check(a)
}

// Check validates an announcement. The error names the first invalid field.
func Check(a lab.Announcement) error {
	if a.Database == "" || a.Member == "" || a.Region == "" || a.AvailabilityZone == "" {
		return errors.New("database, member, region and availability_zone must not be empty")
	}

	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Newf("address %q must be an IP address and port", a.Address)
	}

	if err := a.Validate(); err != nil {
		return err
	}

	if a.Slots < 1 || a.Connections <= lab.ReservedConnections {
		return errors.Newf("slots must be at least 1 and connections more than %d", lab.ReservedConnections)
	}

	return nil
}
