package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	checkInInterval = 1200 * time.Millisecond
	replicaLag      = 20 * time.Millisecond
	maxMessageBytes = 1 << 20
)

// commit is one commit in the log of a service.
type commit struct {
	term, number int
	writes       [][2]string
}

// service is a group of members. The first one is the primary.
type service struct {
	name    string
	record  *record
	slots   int
	maxConn int
	quiet   bool             // runs aren't recorded
	work    [2]time.Duration // shortest and longest time that a read or write takes

	mutex   sync.Mutex
	members []*member
	proofs  atomic.Int64
}

// member is a stand-in for a database server. It follows PROTOCOL.md; it has no promotions, since no case needs one.
type member struct {
	id, zone, address string
	born              int64
	service           *service
	listener          net.Listener
	slots             chan struct{}
	connections       atomic.Int32
	// The service's mutex guards the following.
	primary bool
	log     []commit
	data    map[string][]string // rows by item; a write adds one
}

// newService returns a service with the slots and connections of the site saptak-hire.
func newService(r *record, name string, work ...time.Duration) *service {
	return &service{name: name, record: r, slots: 2, maxConn: 34, work: [2]time.Duration{work[0], work[len(work)-1]}}
}

// listen starts a member in each zone.
func (s *service) listen(zones []string, address string) error {
	for i, z := range zones {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}

		m := &member{
			id: fmt.Sprintf("i-%s-%d", s.name, i+1), zone: z, address: l.Addr().String(), born: time.Now().UnixMilli(),
			service: s, listener: l, slots: make(chan struct{}, s.slots), primary: i == 0, data: map[string][]string{},
			log: []commit{{term: 1, number: 1}},
		}
		s.members = append(s.members, m)

		go m.accept()
	}

	return nil
}

func (m *member) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}

		go m.serve(c)
	}
}

// memberSession is one connection to a member.
type memberSession struct {
	member   *member
	who      string
	out      *bufio.Writer
	prepared map[string][2]string
	open     bool // a transaction is open
	readOnly bool
	failed   bool
	writes   [][2]string
}

func (m *member) position() string {
	l := m.log[len(m.log)-1]

	return fmt.Sprintf("%d.%d", l.term, l.number)
}

func (m *member) serve(c net.Conn) {
	defer c.Close()

	in := bufio.NewReaderSize(c, 64<<10)
	s := &memberSession{member: m, out: bufio.NewWriterSize(c, 64<<10), prepared: map[string][2]string{}}

	line, err := readMessage(in)
	if err != nil {
		return
	}

	f := strings.SplitN(line, " ", 4)

	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != m.service.name || (len(f) == 4 && f[3] != m.id):
		fmt.Fprintf(s.out, "FAULT MISROUTED %s\r\n", m.id)
		s.out.Flush()

		return
	case int(m.connections.Add(1)) > m.service.maxConn:
		m.connections.Add(-1)
		fmt.Fprintf(s.out, "FAULT TOOMANY %s\r\n", m.id)
		s.out.Flush()

		return
	}

	defer m.connections.Add(-1)

	s.who = f[2]
	time.Sleep(12 * time.Millisecond)
	m.service.mutex.Lock()
	p := m.position()
	m.service.mutex.Unlock()
	fmt.Fprintf(s.out, "READY I %s\r\n", p)
	s.out.Flush()

	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}

		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}

		s.query(f[1], f[2])

		if in.Buffered() == 0 && s.out.Flush() != nil {
			return
		}
	}
}

// query runs one query and writes the answer.
func (s *memberSession) query(id, text string) {
	fault, rows, proof := s.run(id, text)

	m := s.member
	m.service.mutex.Lock()
	p := m.position()
	m.service.mutex.Unlock()

	for _, r := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", r)
	}

	if fault != "" {
		if s.open && fault != "BUSY" && fault != "NOSTMT" && fault != "LAGGING" {
			s.failed = true
		}

		fmt.Fprintf(s.out, "FAULT %s %s\r\n", fault, m.id)
	} else {
		fmt.Fprintf(s.out, "COMPLETE %s\r\n", proof)
	}

	state := "I"
	if s.open {
		state = "T"
	}

	if s.failed {
		state = "E"
	}

	fmt.Fprintf(s.out, "READY %s %s\r\n", state, p)
}

func (s *memberSession) run(id, text string) (fault string, rows []string, proof string) {
	m := s.member

	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var position string

		position, text, _ = strings.Cut(rest, " ")
		if !m.covers(position) {
			return "LAGGING", nil, ""
		}
	}

	verb, rest, _ := strings.Cut(text, " ")

	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return "MALFORMED", nil, ""
	}

	switch verb {
	case "BEGIN":
		if rest == "" && !m.leads() {
			return "READONLY", nil, ""
		}

		s.open, s.readOnly, s.writes = true, rest == "FETCH", nil

		return "", nil, "-"
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil

		return "", nil, "-"
	case "COMMIT":
		return s.commit(id)
	case "SET", "DEALLOC":
		return "", nil, "-"
	case "RESET":
		s.prepared = map[string][2]string{}

		return "", nil, "-"
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		if len(f) < 3 {
			return "MALFORMED", nil, ""
		}

		s.prepared[f[0]] = [2]string{f[1], f[2]}

		return "", nil, "-"
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")

		p, ok := s.prepared[name]
		if !ok {
			return "NOSTMT", nil, ""
		}

		return s.statement(id, p[0], arguments, text)
	case "FETCH", "STORE":
		return s.statement(id, verb, rest, text)
	case "STATUS", "PAUSE", "RESUME":
		return "", []string{s.status(verb, rest)}, "-"
	}

	return "MALFORMED", nil, ""
}

func (s *memberSession) statement(id, verb, rest, text string) (fault string, rows []string, proof string) {
	m := s.member
	item, data, _ := strings.Cut(rest, " ")

	if verb == "STORE" && !m.leads() {
		return "READONLY", nil, ""
	}

	m.slots <- struct{}{}

	time.Sleep(m.service.work[0] + rand.N(m.service.work[1]-m.service.work[0]+1))

	if !m.service.quiet {
		m.service.record.add("run", "member=%s request=%s from=%s text=%s", m.id, id, s.who, short(text))
	}

	defer func() { <-m.slots }()

	if verb == "FETCH" {
		m.service.mutex.Lock()
		rows = m.data[item]
		m.service.mutex.Unlock()

		return "", rows, s.proof()
	}

	s.writes = append(s.writes, [2]string{item, data})

	if s.open {
		return "", nil, s.proof()
	}

	return s.commitWrites()
}

func (s *memberSession) commit(id string) (fault string, rows []string, proof string) {
	failed := s.failed || !s.open
	s.open, s.failed = false, false

	if failed {
		s.writes = nil

		return "ABORTED", nil, ""
	}

	s.member.service.record.add("commit", "member=%s request=%s writes=%d", s.member.id, id, len(s.writes))

	return s.commitWrites()
}

func (s *memberSession) commitWrites() (fault string, rows []string, proof string) {
	writes := s.writes
	s.writes = nil

	if len(writes) == 0 {
		return "", nil, s.proof()
	}

	m := s.member
	g := m.service

	g.mutex.Lock()

	if !m.primary {
		g.mutex.Unlock()

		return "READONLY", nil, ""
	}

	last := m.log[len(m.log)-1]
	c := commit{last.term, last.number + 1, writes}
	m.apply(c)
	g.mutex.Unlock()

	time.Sleep(replicaLag)

	g.mutex.Lock()
	for _, r := range g.members {
		if r != m {
			r.apply(c)
		}
	}
	g.mutex.Unlock()

	return "", nil, s.proof()
}

// apply adds a commit to the log. The service's mutex must be held.
func (m *member) apply(c commit) {
	m.log = append(m.log, c)
	for _, w := range c.writes {
		m.data[w[0]] = append(m.data[w[0]], w[1])
	}
}

func (s *memberSession) proof() string {
	return fmt.Sprintf("%s.%x", s.member.id, s.member.service.proofs.Add(1))
}

func (s *memberSession) status(verb, rest string) string {
	m := s.member
	held := "0"

	if verb == "PAUSE" {
		held = rest
	}

	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	role := "replica"
	if m.primary {
		role = "primary"
	}

	l := m.log[len(m.log)-1]

	return fmt.Sprintf("%s %d %s %s 0 %d %d", role, l.term, m.position(), held, len(m.slots), m.connections.Load())
}

func (m *member) leads() bool {
	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	return m.primary
}

func (m *member) covers(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(t)
	number, _ := strconv.Atoi(n)

	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	l := m.log[len(m.log)-1]

	return l.term > term || (l.term == term && l.number >= number)
}

// announcement returns the body of a check-in.
func (m *member) announcement(sequence int) map[string]any {
	role := "replica"
	if m.leads() {
		role = "primary"
	}

	return map[string]any{
		"service": m.service.name, "address": m.address, "zone": m.zone, "version": "v1", "capacity": m.service.slots,
		"state": "ready", "warmupLeftMs": 0, "dbRole": role, "sequence": sequence, "born": m.born,
	}
}

// checkIn sends check-ins until the deployment ends.
func (m *member) checkIn(d *deployment) {
	for n := 1; ; n++ {
		for _, a := range d.controls() {
			if status, _ := putInstance(a, m.id, m.announcement(n)); status == http.StatusOK {
				break
			}
		}

		select {
		case <-d.ended:
			return
		case <-time.After(checkInInterval):
		}
	}
}

var checkInClient = &http.Client{Timeout: time.Second}

// putInstance sends one check-in and returns the status of the response.
func putInstance(control, id string, body map[string]any) (int, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}

	r, err := http.NewRequest(http.MethodPut, "http://"+control+"/-/instances/"+url.PathEscape(id), bytes.NewReader(b))
	if err != nil {
		return 0, err
	}

	r.Header.Set("Content-Type", "application/json")

	response, err := checkInClient.Do(r)
	if err != nil {
		return 0, err
	}

	return response.StatusCode, response.Body.Close()
}

// readMessage reads one message without its line end.
func readMessage(in *bufio.Reader) (string, error) {
	var b []byte

	for {
		part, err := in.ReadSlice('\n')
		b = append(b, part...)

		if err != nil && err != bufio.ErrBufferFull {
			return "", err
		}

		if len(b) > maxMessageBytes {
			return "", fmt.Errorf("message of more than %d bytes", maxMessageBytes)
		}

		if err == nil && bytes.HasSuffix(b, []byte("\r\n")) {
			return string(b[:len(b)-2]), nil
		}
	}
}

// short shortens a text for the record.
func short(text string) string {
	const most = 60
	if len(text) > most {
		return fmt.Sprintf("%s... (%d bytes)", text[:most], len(text))
	}

	return text
}
