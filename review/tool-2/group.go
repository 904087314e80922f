package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	replicationDelay = 20 * time.Millisecond
	promoteDuration  = 600 * time.Millisecond
	statementTime    = 4 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
)

// group is one service: a primary and its replicas, and the platform's interface for promotions.
type group struct {
	lab     *lab
	service string
	control func() []*node // the operator's list

	mutex   sync.Mutex
	members []*member
	term    uint64
	log     []string // ids of the committed statements, in the order of their numbers
	token   uint64   // highest fencing token seen
	trouble memberTrouble
	leader  *member
	changed *sync.Cond
}

// member is one server of a service.
type member struct {
	group    *group
	id, zone string
	host     int
	port     int

	born     time.Time
	received int    // number of commits of the group's log that it has received
	paused   uint64 // term of PAUSE, 0 if it receives
	running  bool
	deaf     bool // receives nothing from the primary
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	proofs   int
}

func newGroup(l *lab, service string, control func() []*node) *group {
	g := &group{lab: l, service: service, control: control, term: 1}
	g.changed = sync.NewCond(&g.mutex)

	return g
}

// add starts a member. The first one is the primary.
func (g *group) add(host, port int, id, zone string) (*member, error) {
	m := &member{group: g, id: id, zone: zone, host: host, port: port, conns: map[net.Conn]bool{}}

	g.mutex.Lock()
	g.members = append(g.members, m)

	if g.leader == nil {
		g.leader = m
	}
	g.mutex.Unlock()

	return m, m.start()
}

func (m *member) address() string { return fmt.Sprintf("%s:%d", m.group.lab.ip(m.host), m.port) }

func (m *member) start() error {
	t, err := net.Listen("tcp", m.address())
	if err != nil {
		return err
	}

	g := m.group

	g.mutex.Lock()
	m.listener, m.running, m.born, m.sequence, m.paused = t, true, time.Now(), 0, 0
	g.mutex.Unlock()
	g.lab.note("member %s of %s runs at %s", m.id, g.service, m.address())

	go m.accept(t)
	go m.announce(t)
	go m.replicate(t)

	return nil
}

// crash ends a member without a word.
func (m *member) crash() {
	g := m.group

	g.mutex.Lock()
	defer g.mutex.Unlock()

	m.running = false
	_ = m.listener.Close()

	for c := range m.conns {
		_ = c.Close()
	}

	g.changed.Broadcast()
	g.lab.note("member %s of %s crashes", m.id, g.service)
}

// setDeaf lets a replica receive nothing, or receive again.
func (m *member) setDeaf(deaf bool) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()

	m.deaf = deaf
	m.group.lab.note("member %s receives nothing: %t", m.id, deaf)
}

// same reports whether the run of the member that uses the listener goes on. The mutex must be held.
func (m *member) same(t net.Listener) bool { return m.running && m.listener == t }

func (m *member) accept(t net.Listener) {
	for {
		c, err := t.Accept()
		if err != nil {
			return
		}

		m.group.mutex.Lock()
		m.conns[c] = true
		m.group.mutex.Unlock()

		go m.serve(c)
	}
}

// replicate lets a replica receive the log of the primary.
func (m *member) replicate(t net.Listener) {
	g := m.group

	for {
		time.Sleep(replicationDelay)

		g.mutex.Lock()

		if !m.same(t) || g.lab.ended() {
			g.mutex.Unlock()

			return
		}

		if l := g.leader; l != nil && l != m && l.running && m.paused == 0 && !m.deaf && m.received != l.received {
			m.received = l.received
			g.changed.Broadcast()
		}
		g.mutex.Unlock()
	}
}

// announce sends the check-ins.
func (m *member) announce(t net.Listener) {
	g := m.group

	for first := true; ; first = false {
		if !first {
			time.Sleep(heartbeat)
		}

		g.mutex.Lock()
		if !m.same(t) || g.lab.ended() {
			g.mutex.Unlock()

			return
		}

		m.sequence++

		role := "replica"
		if g.leader == m {
			role = "primary"
		}

		body, _ := json.Marshal(map[string]any{
			"service": g.service, "address": m.address(), "zone": m.zone, "version": "v1", "capacity": 3, "state": "ready",
			"warmupLeftMs": 0, "dbRole": role, "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		g.mutex.Unlock()

		for i, n := range g.control() {
			s, _ := call(http.MethodPut, n.controlURL()+"/-/instances/"+m.id, string(body))
			if s/100 == 2 {
				break
			}

			g.lab.note("check-in of %s at %s: %d (try %d)", m.id, n.name, s, i+1)
		}
	}
}

// session is a connection to a member.
type session struct {
	member *member
	conn   net.Conn
	state  string
	plain  bool // the open transaction is a plain one
	wrote  []string
	shapes map[string]bool // prepared statements, true for a write
}

func (m *member) serve(c net.Conn) {
	defer func() {
		_ = c.Close()

		m.group.mutex.Lock()
		delete(m.conns, c)
		m.group.mutex.Unlock()
	}()

	r := bufio.NewReaderSize(c, 1<<16)

	line, err := r.ReadString('\n')
	if err != nil {
		return
	}

	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != m.group.service || (len(f) > 3 && f[3] != m.id) {
		_, _ = fmt.Fprintf(c, "FAULT MISROUTED %s\r\n", m.id)

		return
	}

	s := &session{member: m, conn: c, state: "I", shapes: map[string]bool{}}

	time.Sleep(12 * time.Millisecond)

	m.group.mutex.Lock()
	position := m.positionLocked()
	m.group.mutex.Unlock()

	_, _ = fmt.Fprintf(c, "READY I %s\r\n", position)

	for {
		line, err := r.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "TERMINATE") {
			return
		}

		p := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(p) < 3 || p[0] != "QUERY" {
			_, _ = fmt.Fprintf(c, "FAULT MALFORMED -\r\n")

			return
		}

		a, lost := s.troubled(p[1], p[2])
		if lost {
			continue
		}

		if _, err := c.Write([]byte(a)); err != nil {
			return
		}
	}
}

func (m *member) positionLocked() string { return fmt.Sprintf("%d.%d", m.group.term, m.received) }

func (s *session) ready() string {
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()

	return fmt.Sprintf("READY %s %s\r\n", s.state, s.member.positionLocked())
}

func (s *session) fault(code string) string {
	return fmt.Sprintf("FAULT %s %s\r\n", code, s.member.id) + s.ready()
}

func (s *session) complete(rows ...string) string {
	out := ""
	for _, w := range rows {
		out += "DATAROW " + w + "\r\n"
	}

	return out + "COMPLETE -\r\n" + s.ready()
}

func (s *session) proof(rows ...string) string {
	m := s.member

	m.group.mutex.Lock()
	m.proofs++
	p := fmt.Sprintf("%s.%x.%x", m.id, m.born.UnixNano(), m.proofs)
	m.group.mutex.Unlock()

	out := ""
	for _, w := range rows {
		out += "DATAROW " + w + "\r\n"
	}

	return out + "COMPLETE " + p + "\r\n" + s.ready()
}

func (s *session) leads() bool {
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()

	return s.member.group.leader == s.member
}

// covers reports whether the log has a position.
func (s *session) covers(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)

	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()

	return s.member.group.term >= term && s.member.received >= number
}

func (s *session) run(id, text string) string {
	word, rest, _ := strings.Cut(text, " ")

	if word == "AFTER" {
		position, after, _ := strings.Cut(rest, " ")
		if !s.covers(position) {
			return s.fault("LAGGING")
		}

		word, rest, _ = strings.Cut(after, " ")
	}

	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return s.fault("MALFORMED")
	}

	switch word {
	case "SET", "RESET", "DEALLOC":
		return s.complete()
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		s.shapes[f[0]] = f[1] == "STORE"

		return s.complete()
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.status(word, rest)
	case "BEGIN":
		if rest == "" && !s.leads() {
			return s.fault("READONLY")
		}

		s.state, s.plain, s.wrote = "T", rest == "", nil

		return s.complete()
	case "ROLLBACK":
		s.state, s.wrote = "I", nil

		return s.complete()
	case "COMMIT":
		return s.commit(id)
	case "FETCH", "STORE", "EXECUTE":
		return s.statement(id, word, rest)
	}

	return s.fault("MALFORMED")
}

func (s *session) statement(id, word, rest string) string {
	write := word == "STORE"

	if word == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")

		w, ok := s.shapes[name]
		if !ok {
			return s.fault("NOSTMT")
		}

		write = w
	}

	if (write || (s.state == "T" && s.plain)) && !s.leads() {
		if s.state == "T" {
			s.state = "E"
		}

		return s.fault("READONLY")
	}

	time.Sleep(statementTime)

	// The reads of a crowd are too many for the record.
	if write || !strings.HasPrefix(id, crowdID) {
		s.member.group.lab.note("member %s runs %s %s", s.member.id, id, word)
	}

	switch {
	case !write:
		return s.proof("row")
	case s.state == "T":
		s.wrote = append(s.wrote, id)

		return s.proof()
	case !s.append([]string{id}):
		return s.fault("READONLY")
	}

	return s.proof()
}

func (s *session) commit(id string) string {
	wrote := s.wrote
	s.wrote = nil

	if s.state == "E" {
		s.state = "I"

		return s.fault("ABORTED")
	}

	s.state = "I"

	time.Sleep(statementTime)

	if len(wrote) > 0 && !s.append(wrote) {
		return s.fault("READONLY")
	}

	s.member.group.lab.note("member %s runs %s COMMIT", s.member.id, id)

	return s.proof()
}

// append commits statements and returns once a replica has received them.
func (s *session) append(ids []string) bool {
	m, g := s.member, s.member.group

	g.mutex.Lock()
	defer g.mutex.Unlock()

	if g.leader != m || !m.running {
		return false
	}

	g.log = append(g.log[:m.received:m.received], ids...)
	m.received = len(g.log)
	number, term := m.received, g.term

	for m.running && g.term == term {
		for _, o := range g.members {
			if o != m && o.running && o.received >= number {
				return true
			}
		}

		g.changed.Wait()
	}

	// The connection ends without an answer: the commit has run, and may be rolled back.
	_ = s.conn.Close()

	return true
}

func (s *session) status(word, rest string) string {
	m, g := s.member, s.member.group
	term, _ := strconv.ParseUint(rest, 10, 64)

	g.mutex.Lock()

	switch {
	case word == "PAUSE" && term > g.term && g.leader != m:
		m.paused = term
	case word == "RESUME":
		m.paused = 0
	case word == "STEPDOWN" && g.leader == m && term > g.term:
		g.leader = nil
	}

	role := "replica"
	if g.leader == m {
		role = "primary"
	}

	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, g.term, m.positionLocked(), m.paused, len(m.conns))
	g.mutex.Unlock()

	if word != "STATUS" {
		g.lab.note("member %s runs %s %s: %s", m.id, word, rest, row)
	}

	return s.complete(row)
}

// failover handles POST /failover.
func (g *group) failover(w http.ResponseWriter, r *http.Request, service, id string) {
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)

	g.mutex.Lock()
	defer g.mutex.Unlock()

	var m *member
	for _, o := range g.members {
		if o.id == id && o.running {
			m = o
		}
	}

	status := http.StatusOK
	if token < g.token || m == nil {
		status = http.StatusConflict
	}

	g.token = max(g.token, token)
	g.lab.note("platform: POST /failover %s %s, token %d: %d", service, id, token, status)

	if status == http.StatusOK && m != g.leader {
		time.AfterFunc(promoteDuration, func() { g.promote(m) })
	}

	w.WriteHeader(status)
}

func (g *group) promote(m *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if !m.running || g.leader == m {
		return
	}

	g.leader = m
	g.term++
	g.log = g.log[:m.received]

	for _, o := range g.members {
		o.received, o.paused = min(o.received, m.received), 0
	}

	g.changed.Broadcast()
	g.lab.note("member %s leads %s in term %d with %d commits", m.id, g.service, g.term, m.received)
}

// servePlatform serves the platform's interface for promotions.
func servePlatform(l *lab, groups ...*group) error {
	t, err := net.Listen("tcp", l.platform)
	if err != nil {
		return err
	}

	h := http.NewServeMux()
	h.HandleFunc("POST /failover", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Service, ID string }

		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		for _, g := range groups {
			if g.service == b.Service {
				g.failover(w, r, b.Service, b.ID)

				return
			}
		}

		w.WriteHeader(http.StatusConflict)
	})

	go func() { _ = (&http.Server{Handler: h}).Serve(t) }()

	return nil
}
