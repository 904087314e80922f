// Command harness runs the scripts of the review: it starts laburnumlock as separate processes and simulates its
// platform, members and clients by the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const maxRunTime = 110 * time.Second

// scenario runs one case on a started deployment and reports whether the rule was broken.
type scenario func(x *run) (broken bool, err error)

var scenarios = map[string]scenario{
	"crashes": runCrashes,
	"refused": runRefused,
	"leaving": runLeaving,
	"leaver":  runPromotedLeaver,
	"drain":   runDrain,
	"flood":   runFlood,
}

// run is what a scenario works with.
type run struct {
	rec        *record
	service    *service
	platform   *platform
	deployment *deployment
	trouble    bool
	memory     int // memoryMb of the settings
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: harness SCENARIO RECORD")
		os.Exit(exitNotRun)
	}

	os.Exit(runScenario(os.Args[1], os.Args[2]))
}

func runScenario(name, path string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Println("unknown scenario", name)

		return exitNotRun
	}

	rec, err := openRecord(path)
	if err != nil {
		fmt.Println(err)

		return exitNotRun
	}

	defer rec.close()

	x := &run{rec: rec, trouble: os.Getenv("TROUBLE") != "0", memory: memoryOf(name)}

	defer x.stop()

	if err := x.start(); err != nil {
		rec.note("not run: %v", err)

		return exitNotRun
	}

	result := make(chan int, 1)

	go func() { result <- x.play(s) }()

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)

	select {
	case code := <-result:
		return code
	case <-time.After(maxRunTime - rec.since()):
		rec.note("not run: it took too long")
	case <-signals:
		rec.note("not run: interrupted")
	}

	return exitNotRun
}

// memoryOf returns memoryMb of the site that a scenario stands for.
func memoryOf(name string) int {
	if name == "flood" {
		return floodLimit
	}

	return 284
}

func (x *run) play(s scenario) int {
	broken, err := s(x)

	switch {
	case err != nil:
		x.rec.note("not run: %v", err)

		return exitNotRun
	case broken:
		x.rec.note("result: the rule was broken")

		return exitBroken
	}

	x.rec.note("result: the rule held")

	return exitHeld
}

const serviceName = "rota1"

// start starts everything and waits until consumers can be served.
func (x *run) start() error {
	x.rec.note("trouble=%t", x.trouble)

	x.service = newService(x.rec, serviceName, func() []string { return x.deployment.controlAddresses() })

	var err error
	if x.platform, err = startPlatform(x.rec, x.service); err != nil {
		return err
	}

	if x.deployment, err = newDeployment(x.rec, x.platform.address(), x.memory); err != nil {
		return err
	}

	if err := x.deployment.startAll(); err != nil {
		return err
	}

	if err := x.deployment.configure(7, serviceName); err != nil {
		return err
	}

	if err := x.service.start(); err != nil {
		return err
	}

	return x.deployment.awaitReady()
}

func (x *run) stop() {
	if x.service != nil {
		x.service.stop()
	}

	if x.deployment != nil {
		x.deployment.stop()
	}
}
