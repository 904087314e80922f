package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// member simulates one database server.
type member struct {
	service *service
	id      string
	zone    string
	address string
	born    int64

	sequence    uint64
	primary     bool
	running     bool
	draining    bool
	confirmedAt time.Duration // time on the record's clock when the draining state was confirmed, 0 before
	deaf        bool          // receives nothing
	held        uint64        // term of PAUSE, 0 if the replica receives
	term        uint64
	log         []commit
	slots       chan struct{}
	waiting     int
	listener    net.Listener
	connections map[net.Conn]bool
	announce    chan struct{}
	cancel      context.CancelFunc
}

func (m *member) startLocked() error {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}

	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithCancel(context.Background())
	m.listener, m.address, m.cancel = l, l.Addr().String(), cancel
	m.born, m.sequence, m.running = time.Now().UnixMilli(), 0, true
	m.slots, m.connections = make(chan struct{}, slotCount), map[net.Conn]bool{}
	m.announce = make(chan struct{}, 1)

	go m.accept(l)
	go m.announcePeriodically(ctx)

	return nil
}

func (m *member) receivesLocked() bool { return m.running && !m.deaf && m.held == 0 }

// crash ends the member's process at once. It keeps its log.
func (m *member) crash() {
	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	if !m.running {
		return
	}

	m.service.rec.note("member %s ends, primary=%t, %d commits in its log", m.id, m.primary, len(m.log))

	m.running = false
	m.cancel()
	_ = m.listener.Close()

	for c := range m.connections {
		_ = c.Close()
	}

	m.service.received.Broadcast()
}

// end says that the member is gone and ends it.
func (m *member) end() {
	for _, a := range m.service.control() {
		if status, _ := request(http.MethodDelete, a, "/-/instances/"+m.id, nil); status/100 == 2 {
			break
		}
	}

	m.crash()
}

// restart starts a crashed member with its log. It is a replica if another member leads by now.
func (m *member) restart() {
	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	if m.running {
		return
	}

	m.held = 0

	if err := m.startLocked(); err != nil {
		m.service.rec.note("member %s does not start: %v", m.id, err)

		return
	}

	m.service.rec.note("member %s is back, primary=%t", m.id, m.primary)

	if p := m.service.primaryLocked(); p != nil {
		m.service.replicateLocked(p, m)
	}
}

func (m *member) setDeaf(deaf bool) {
	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	m.deaf = deaf
	m.service.rec.note("replica %s receives nothing: %t", m.id, deaf)

	if p := m.service.primaryLocked(); p != nil && !deaf {
		m.service.replicateLocked(p, m)
	}
}

// leave makes the member report that it is draining.
func (m *member) leave() {
	m.service.mutex.Lock()
	defer m.service.mutex.Unlock()

	m.draining = true
	m.announceSoonLocked()
}

func (m *member) announceSoonLocked() {
	select {
	case m.announce <- struct{}{}:
	default:
	}
}

func (m *member) announcePeriodically(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()

	for {
		m.checkIn(ctx)

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.announce:
		}
	}
}

// checkIn sends one check-in, to another control instance after each failure.
func (m *member) checkIn(ctx context.Context) {
	m.service.mutex.Lock()
	m.sequence++
	state, role, leaving := "ready", "replica", m.draining

	if leaving {
		state = "draining"
	}

	if m.primary {
		role = "primary"
	}

	body, _ := json.Marshal(map[string]any{
		"service": m.service.name, "address": m.address, "zone": m.zone, "version": "v1", "capacity": slotCount,
		"state": state, "warmupLeftMs": 0, "dbRole": role, "sequence": m.sequence, "born": m.born,
	})
	m.service.mutex.Unlock()

	addresses := m.service.control()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	for _, a := range addresses {
		if ctx.Err() != nil {
			return
		}

		status, _ := request(http.MethodPut, a, "/-/instances/"+m.id, body)
		if status/100 != 2 {
			continue
		}

		m.service.mutex.Lock()
		if leaving && m.confirmedAt == 0 {
			m.confirmedAt = m.service.rec.since()
			m.service.rec.note("control confirms that member %s leaves", m.id)
		}
		m.service.mutex.Unlock()

		return
	}
}

func (m *member) accept(l net.Listener) {
	for {
		socket, err := l.Accept()
		if err != nil {
			return
		}

		m.service.mutex.Lock()
		m.connections[socket] = true
		count := len(m.connections)
		m.service.mutex.Unlock()

		c := &memberConnection{member: m, socket: socket, values: map[string]string{}, prepared: map[string]string{}}

		go c.run(count)
	}
}

// memberConnection is one connection to a member. The service's mutex guards its state.
type memberConnection struct {
	member        *member
	socket        net.Conn
	values        map[string]string
	prepared      map[string]string // verb of each prepared statement by name
	inTransaction bool
	readOnly      bool
	failed        bool
	first         bool // no consumer's statement has run in the open transaction
	term          uint64
	writes        map[string]string
}

func (c *memberConnection) run(count int) {
	m := c.member

	defer func() {
		_ = c.socket.Close()

		m.service.mutex.Lock()
		delete(m.connections, c.socket)
		m.service.mutex.Unlock()
	}()

	r := bufio.NewReader(c.socket)

	l, err := r.ReadString('\n')
	if err != nil {
		return
	}

	f := strings.Fields(l)

	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != m.service.name || (len(f) > 3 && f[3] != m.id):
		_, _ = fmt.Fprintf(c.socket, "FAULT MISROUTED %s\r\n", m.id)

		return
	case count > connectionLimit:
		_, _ = fmt.Fprintf(c.socket, "FAULT TOOMANY %s\r\n", m.id)

		return
	}

	m.slots <- struct{}{}

	time.Sleep(connectionTime)

	<-m.slots

	m.service.mutex.Lock()
	ready := c.ready()
	m.service.mutex.Unlock()

	if _, err := c.socket.Write([]byte(ready)); err != nil {
		return
	}

	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return
		}

		f := strings.SplitN(strings.TrimRight(l, "\r\n"), " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}

		out, ok := c.query(f[1], f[2])
		if !ok {
			return
		}

		if _, err := c.socket.Write([]byte(out)); err != nil {
			return
		}
	}
}

func (c *memberConnection) ready() string {
	state := "I"

	switch {
	case c.inTransaction && c.failed:
		state = "E"
	case c.inTransaction:
		state = "T"
	}

	return fmt.Sprintf("READY %s %d.%d\r\n", state, c.member.term, len(c.member.log))
}

func (c *memberConnection) fault(code string) string {
	if c.inTransaction && code != "BUSY" {
		c.failed = true
	}

	return fmt.Sprintf("FAULT %s %s\r\n%s", code, c.member.id, c.ready())
}

func (c *memberConnection) complete(proof string, rows ...string) string {
	out := ""
	for _, r := range rows {
		out += "DATAROW " + r + "\r\n"
	}

	return fmt.Sprintf("%sCOMPLETE %s\r\n%s", out, proof, c.ready())
}

// takeSlot waits for a slot of the member. It returns false if the queue is full.
func (m *member) takeSlot() bool {
	m.service.mutex.Lock()

	if m.waiting >= queueLength {
		m.service.mutex.Unlock()

		return false
	}

	m.waiting++
	m.service.mutex.Unlock()

	m.slots <- struct{}{}

	m.service.mutex.Lock()
	m.waiting--
	m.service.mutex.Unlock()

	return true
}

// query runs one query and returns its response. It returns false if there is none.
func (c *memberConnection) query(id, text string) (string, bool) {
	m, s := c.member, c.member.service
	words := strings.Split(text, " ")
	after := ""

	if words[0] == "AFTER" && len(words) > 2 {
		after, words = words[1], words[2:]
	}

	verb := words[0]
	slotted := verb == "FETCH" || verb == "STORE" || verb == "EXECUTE" || verb == "COMMIT" || verb == "STATUS"

	if slotted {
		if !m.takeSlot() {
			s.mutex.Lock()
			defer s.mutex.Unlock()

			return c.fault("BUSY"), true
		}

		defer func() { <-m.slots }()

		time.Sleep(statementTime)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if !m.running {
		return "", false
	}

	if id != "-" {
		s.rec.add("member %s gets %s %s", m.id, id, text)
		c.checkLeaving(id, text)
	}

	if after != "" && c.lacks(after) {
		return c.fault("LAGGING"), true
	}

	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return c.fault("MALFORMED"), true
	}

	return c.runVerb(id, verb, words)
}

// checkLeaving records a request that reaches a leaving member too late.
func (c *memberConnection) checkLeaving(id, text string) {
	m := c.member
	counted := !c.inTransaction || c.first
	c.first = false

	if late := m.service.rec.since() - m.confirmedAt; counted && m.confirmedAt > 0 && late > drainTime {
		m.service.rec.add("request %s reaches member %s %.3f s after it was confirmed that the member leaves: %s", id, m.id,
			late.Seconds(), text)
		m.service.lateAtLeaver = append(m.service.lateAtLeaver, id)
	}
}

func (c *memberConnection) lacks(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, err := strconv.ParseUint(n, 10, 64)

	return err != nil || term > c.member.term || number > uint64(len(c.member.log))
}

func (c *memberConnection) superseded() bool {
	return c.inTransaction && !c.readOnly && (!c.member.primary || c.term != c.member.term)
}

func (c *memberConnection) proof(id string) string {
	return fmt.Sprintf("proof.%s.%s", c.member.id, id)
}

func (c *memberConnection) runVerb(id, verb string, words []string) (string, bool) {
	m := c.member

	switch verb {
	case "BEGIN":
		readOnly := len(words) > 1 && words[1] == "FETCH"
		if !m.primary && !readOnly {
			return c.fault("READONLY"), true
		}

		c.inTransaction, c.readOnly, c.failed, c.first, c.term, c.writes = true, readOnly, false, true, m.term, nil

		return c.complete("-"), true
	case "ROLLBACK":
		c.inTransaction, c.failed, c.writes = false, false, nil

		return c.complete("-"), true
	case "COMMIT":
		writes, refused := c.writes, c.failed || (c.superseded() && len(c.writes) > 0)
		c.inTransaction, c.failed, c.writes = false, false, nil

		if refused {
			return c.fault("READONLY"), true
		}

		return c.commit(id, writes)
	case "FETCH", "STORE":
		return c.access(id, verb, words[1:])
	case "EXECUTE":
		v, ok := c.prepared[words[1]]
		if !ok {
			return c.fault("NOSTMT"), true
		}

		return c.access(id, v, words[2:])
	}

	return c.runControlVerb(verb, words), true
}

func (c *memberConnection) commit(id string, writes map[string]string) (string, bool) {
	if len(writes) > 0 && !c.member.service.commitLocked(c.member, commit{id, writes}) {
		return "", false
	}

	return c.complete(c.proof(id)), true
}

func (c *memberConnection) access(id, verb string, words []string) (string, bool) {
	m := c.member

	switch {
	case c.superseded():
		return c.fault("READONLY"), true
	case verb == "FETCH":
		row := "none"

		for _, e := range m.log {
			if v, ok := e.data[words[0]]; ok {
				row = v
			}
		}

		return c.complete(c.proof(id), row), true
	case !m.primary || c.readOnly || len(words) < 2:
		return c.fault("READONLY"), true
	}

	if c.inTransaction {
		if c.writes == nil {
			c.writes = map[string]string{}
		}

		c.writes[words[0]] = words[1]

		return c.complete(c.proof(id)), true
	}

	return c.commit(id, map[string]string{words[0]: words[1]})
}

func (c *memberConnection) runControlVerb(verb string, words []string) string {
	m := c.member

	switch verb {
	case "SET":
		c.values[words[1]] = strings.Join(words[2:], " ")

		return c.complete("-")
	case "PREPARE":
		c.prepared[words[1]] = words[2]

		return c.complete("-")
	case "DEALLOC":
		delete(c.prepared, words[1])

		return c.complete("-")
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}

		return c.complete("-")
	case "PAUSE":
		if t, err := strconv.ParseUint(words[1], 10, 64); err == nil && !m.primary && t > m.term {
			m.held = t
		}
	case "RESUME":
		m.held = 0
		if p := m.service.primaryLocked(); p != nil {
			m.service.replicateLocked(p, m)
		}
	case "STATUS":
	default:
		return c.fault("MALFORMED")
	}

	role := "replica"
	if m.primary {
		role = "primary"
	}

	row := fmt.Sprintf("%s %d %d.%d %d 0 %d %d", role, m.term, m.term, len(m.log), m.held, len(m.slots), len(m.connections))
	m.service.rec.add("member %s answers %s: %s", m.id, verb, row)

	return c.complete("-", row)
}
