package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var queryCount atomic.Uint64

// client is one consumer session.
type client struct {
	rec    *record
	name   string
	socket net.Conn
	reader *bufio.Reader
}

type answer struct {
	rows   []string
	proof  string
	code   string // code of the fault, empty after a success
	state  string
	broken bool // the connection ended without a complete answer
}

func connect(rec *record, address, database, name string) (*client, error) {
	s, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}

	c := &client{rec: rec, name: name, socket: s, reader: bufio.NewReader(s)}

	if _, err := fmt.Fprintf(s, "STARTUP %s %s\r\n", database, name); err != nil {
		_ = s.Close()

		return nil, err
	}

	l, err := c.line(2 * time.Second)
	if err != nil || !strings.HasPrefix(l, "READY I ") {
		_ = s.Close()

		return nil, fmt.Errorf("startup: %q %w", l, err)
	}

	return c, nil
}

func (c *client) line(limit time.Duration) (string, error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(limit))
	l, err := c.reader.ReadString('\n')

	return strings.TrimRight(l, "\r\n"), err
}

func newID() string { return fmt.Sprintf("q%07x", queryCount.Add(1)) }

// query sends a query and waits for its answer.
func (c *client) query(id, text string) answer {
	c.rec.add("%s sends %s %s", c.name, id, text)

	a := c.roundTrip(id, text)
	c.rec.add("%s gets %s proof=%q fault=%q state=%s broken=%t", c.name, id, a.proof, a.code, a.state, a.broken)

	return a
}

func (c *client) roundTrip(id, text string) answer {
	var a answer

	if _, err := fmt.Fprintf(c.socket, "QUERY %s %s\r\n", id, text); err != nil {
		a.broken = true

		return a
	}

	for {
		l, err := c.line(4 * time.Second)
		if err != nil {
			a.broken = true

			return a
		}

		keyword, rest, _ := strings.Cut(l, " ")

		switch keyword {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.proof = rest
		case "FAULT":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")

			return a
		}
	}
}

func (c *client) close() { _ = c.socket.Close() }
