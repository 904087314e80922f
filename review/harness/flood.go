package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	floodPeers  = 8
	floodTime   = 40 * time.Second
	floodPause  = 10 * time.Millisecond // between two blocks of a peer
	floodBlock  = 1000                  // queries in a block
	memoryLimit = 284                   // memoryMb of the settings
)

// runFlood lets peers send queries without a pause. With trouble, they don't read the responses.
func runFlood(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	stop := make(chan struct{})
	defer close(stop)

	x.rec.note("%d peers flood the proxy in %s with SET, reading the responses: %t", floodPeers, zones[0], !x.trouble)

	for i := range floodPeers {
		go x.flood(i, stop)
	}

	killed := x.watchMemory(processName(0, "proxy"))
	l.end()

	if len(l.succeeded()) < 100 {
		return false, errors.New("too little was served")
	}

	return killed, nil
}

// flood is one peer.
func (x *run) flood(number int, stop chan struct{}) {
	s, err := net.Dial("tcp", x.deployment.address(0, clientPort))
	if err != nil {
		x.rec.note("peer %d: %v", number, err)

		return
	}

	defer func() { _ = s.Close() }()

	if _, err := fmt.Fprintf(s, "STARTUP flags p%d\r\n", number); err != nil {
		return
	}

	if !x.trouble {
		go func() { _, _ = io.Copy(io.Discard, s) }()
	}

	block := bytes.Repeat([]byte("QUERY f SET a b\r\n"), floodBlock)

	for sent := 0; ; sent += floodBlock {
		select {
		case <-stop:
			return
		case <-time.After(floodPause):
		}

		if _, err := s.Write(block); err != nil {
			x.rec.note("peer %d: after %d queries: %v", number, sent, err)

			return
		}
	}
}

// watchMemory kills a process that uses more memory than memoryMb, as the infrastructure does.
func (x *run) watchMemory(name string) bool {
	p := x.deployment.processes[name]
	start := x.rec.since()

	for next := start; x.rec.since()-start < floodTime; time.Sleep(100 * time.Millisecond) {
		used := residentMB(p.Process.Pid)
		if x.rec.since() > next {
			x.rec.note("%s uses %d MB", name, used)
			next += 2 * time.Second
		}

		if used > memoryLimit {
			x.rec.note("%s uses %d MB, more than memoryMb = %d: it is killed", name, used, memoryLimit)
			_ = p.Process.Kill()

			return true
		}
	}

	return false
}

// residentMB returns the memory of a process in megabytes, 0 if it can't be read.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])

			return kb / 1024
		}
	}

	return 0
}
