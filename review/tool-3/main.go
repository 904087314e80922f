package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// play plays a case and returns what broke the rule, empty if nothing did.
type play func(r *record, trouble bool) (string, error)

func main() {
	cases := map[string]play{
		"replace-killed":   playReplaceKilled,
		"relay-memory":     playRelayMemory,
		"stop-cuts-answer": playStopCutsAnswer,
		"stop-cuts-busy":   playStopCutsBusy,
	}

	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(cannotRun)
	}

	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return cannotRun
	}
	defer f.Close()

	r := &record{file: f, start: time.Now()}

	broken, err := p(r, os.Getenv("TROUBLE") != "0")

	switch {
	case err != nil:
		r.add("result", "the case could not run: %v", err)
		fmt.Println("could not run:", err)

		return cannotRun
	case broken != "":
		r.add("result", "broken: %s", broken)
		fmt.Println("broken:", broken)

		return ruleBroken
	}

	r.add("result", "held")
	fmt.Println("held")

	return ruleHeld
}
