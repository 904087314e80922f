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
	"sync/atomic"
	"time"
)

const (
	floodMachines = 2
	floodPeers    = 8                     // on each machine
	floodTime     = 60 * time.Second      // bound of the flood
	floodPause    = 10 * time.Millisecond // between two blocks of a peer
	floodBlock    = 20                    // queries in a block
	floodName     = 1000                  // bytes of the name in a query
	floodLimit    = 184                   // memoryMb of the site rantavahti-rota-grown
	floodEnds     = 3                     // ends of a process that the rule allows less than
	restartDelay  = 500 * time.Millisecond
)

// runFlood lets peers send queries that name an unknown prepared statement. With trouble, they don't read the answers.
func runFlood(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	stop := make(chan struct{})

	x.rec.note("%d peers on each of %d machines send queries of %d bytes, reading the answers: %t", floodPeers,
		floodMachines, floodName, !x.trouble)

	ends := make([]atomic.Int64, floodMachines)
	for n := range floodMachines {
		for i := range floodPeers {
			go x.flood(n, i, stop)
		}

		go x.enforceMemory(n, &ends[n], stop)
	}

	enough := func() bool { return ends[0].Load() >= floodEnds && ends[1].Load() >= floodEnds }

	broken := eventually(floodTime, enough)

	close(stop)
	l.end()
	x.rec.note("ends of the proxy over its memory limit: %d in %s, %d in %s", ends[0].Load(), zones[0], ends[1].Load(), zones[1])

	if len(l.succeeded()) < 100 {
		return false, errors.New("too little was served")
	}

	return broken, nil
}

// flood is one peer. It connects again when its connection ends.
func (x *run) flood(machine, number int, stop chan struct{}) {
	name := strings.Repeat("n", floodName)
	block := bytes.Repeat([]byte("QUERY f EXECUTE "+name+" x\r\n"), floodBlock)

	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}

		s, err := net.Dial("tcp", x.deployment.address(machine, clientPort))
		if err != nil {
			continue
		}

		sent := x.floodSession(s, fmt.Sprintf("p%d-%d", machine, number), block, stop)
		x.rec.add("peer %d at %s sent %d queries", number, zones[machine], sent)
		_ = s.Close()
	}
}

func (x *run) floodSession(s net.Conn, name string, block []byte, stop chan struct{}) int {
	if _, err := fmt.Fprintf(s, "STARTUP flags %s\r\n", name); err != nil {
		return 0
	}

	if !x.trouble {
		go func() { _, _ = io.Copy(io.Discard, s) }()
	}

	for sent := 0; ; sent += floodBlock {
		select {
		case <-stop:
			return sent
		case <-time.After(floodPause):
		}

		if _, err := s.Write(block); err != nil {
			return sent
		}
	}
}

// enforceMemory kills a proxy that uses more memory than memoryMb, as the infrastructure does, and starts it again after
// a short delay.
func (x *run) enforceMemory(machine int, ends *atomic.Int64, stop chan struct{}) {
	name, next := processName(machine, "proxy"), x.rec.since()

	for ends.Load() < floodEnds {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}

		p := x.deployment.process(name)
		used := residentMB(p.Process.Pid)

		if x.rec.since() > next {
			x.rec.note("%s uses %d MB", name, used)

			next += 2 * time.Second
		}

		if used <= floodLimit {
			continue
		}

		x.rec.note("%s uses %d MB, more than memoryMb = %d: it is killed", name, used, floodLimit)
		_ = p.Process.Kill()
		_ = p.Wait()

		ends.Add(1)
		time.Sleep(restartDelay)

		if err := x.deployment.start(machine, "proxy", false); err != nil {
			x.rec.note("%v", err)

			return
		}
	}
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
