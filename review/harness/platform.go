package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// platform serves POST /failover for one service. It enforces fences.
type platform struct {
	rec      *record
	service  *service
	listener net.Listener
	down     atomic.Bool // calls get no response and are not carried out
}

func startPlatform(rec *record, s *service) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	p := &platform{rec: rec, service: s, listener: l}

	go func() { _ = http.Serve(l, http.HandlerFunc(p.serve)) }()

	return p, nil
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}

	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || r.Header.Get("Lease-Holder") == "" || json.NewDecoder(r.Body).Decode(&body) != nil ||
		r.Method != http.MethodPost || r.URL.Path != "/failover" {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	if p.down.Load() {
		p.rec.note("platform: POST /failover %s token %d: no response, not carried out", body.ID, token)
		<-r.Context().Done()

		return
	}

	status := p.service.failover(body.ID, token)
	p.rec.note("platform: POST /failover %s by %s token %d: %d", body.ID, r.Header.Get("Lease-Holder"), token, status)
	w.WriteHeader(status)
}
