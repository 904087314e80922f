package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const ethernetSegment = 1460

// client is a consumer's session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to one query.
type answer struct {
	complete, fault string // rest of COMPLETE or FAULT
	rows            []string
	state           string
}

var requests atomic.Int64

func requestID() string { return fmt.Sprintf("%016x", requests.Add(1)) }

// link is the path of a client to a proxy.
type link struct {
	receiveBuffer  int // bytes of the receive window, 0 for the usual
	bytesPerSecond int // 0 for no limit
}

func dial(address, database string, l link) (*client, error) {
	d := net.Dialer{Timeout: 2 * time.Second}

	if l.receiveBuffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error

			err := raw.Control(func(fd uintptr) {
				// Segments as on an Ethernet link; those of the loopback device have 64 KiB.
				failed = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.receiveBuffer),
					syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
				)
			})
			if err != nil {
				return err
			}

			return failed
		}
	}

	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}

	n := &client{conn: c, in: bufio.NewReaderSize(&slowReader{conn: c, rate: l.bytesPerSecond}, 16<<10)}

	_ = c.SetDeadline(time.Now().Add(2 * time.Second))

	if _, err := fmt.Fprintf(c, "STARTUP %s review\r\n", database); err != nil {
		return nil, err
	}

	line, err := readMessage(n.in)
	if err != nil {
		c.Close()

		return nil, err
	}

	if !strings.HasPrefix(line, "READY ") {
		c.Close()

		return nil, fmt.Errorf("startup: %s", line)
	}

	return n, nil
}

// slowReader reads no faster than a link carries.
type slowReader struct {
	conn net.Conn
	rate int
	next time.Time
}

func (s *slowReader) Read(b []byte) (int, error) {
	if s.rate <= 0 {
		return s.conn.Read(b)
	}

	time.Sleep(time.Until(s.next))

	n, err := s.conn.Read(b)
	if now := time.Now(); s.next.Before(now) {
		s.next = now
	}

	s.next = s.next.Add(time.Duration(n) * time.Second / time.Duration(s.rate))

	return n, err
}

// query sends a query and reads the answer. received is the number of bytes of the answer that came.
func (c *client) query(id, text string, limit time.Duration) (a answer, received int, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))

	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, 0, fmt.Errorf("send: %w", err)
	}

	return c.read()
}

// read reads the answer to a query.
func (c *client) read() (a answer, received int, err error) {
	for {
		line, err := readMessage(c.in)
		received += len(line)

		if err != nil {
			return a, received, err
		}

		keyword, rest, _ := strings.Cut(line, " ")

		switch keyword {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.complete = rest
		case "FAULT":
			a.fault = rest
		case "READY":
			a.state = rest

			return a, received, nil
		}
	}
}
