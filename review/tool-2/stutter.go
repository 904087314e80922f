package main

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

// memberTrouble is what the members of a group do beside their work.
type memberTrouble struct {
	busy    float64 // share of the single writes that are refused as busy
	stutter bool    // each refusal is sent again, 300 to 800 ms later
	lost    float64 // share of the single writes that run and get no answer
}

// troubled runs a statement and returns the answer, and whether it is lost.
func (s *session) troubled(id, text string) (string, bool) {
	g := s.member.group

	g.mutex.Lock()
	t := g.trouble
	g.mutex.Unlock()

	single := strings.HasPrefix(text, "STORE") && s.state == "I" && s.leads()

	if single && rand.Float64() < t.busy {
		a := s.fault("BUSY")
		g.lab.note("member %s refuses %s as busy", s.member.id, id)

		if t.stutter {
			time.AfterFunc(time.Duration(300+rand.IntN(500))*time.Millisecond, func() {
				if _, err := s.conn.Write([]byte(a)); err == nil {
					g.lab.note("member %s sends the refusal of %s again", s.member.id, id)
				}
			})
		}

		return a, false
	}

	a := s.run(id, text)

	if single && strings.HasPrefix(a, "COMPLETE") && rand.Float64() < t.lost {
		g.lab.note("the answer of member %s to %s is lost", s.member.id, id)

		return a, true
	}

	return a, false
}

// stutter lets members be busy at times, answer a refusal twice, the second time late, and lose answers for some seconds.
func stutter(l *lab, trouble bool) (int, error) {
	d, err := startDeployment(l)
	if err != nil {
		return 2, err
	}

	set := func(t memberTrouble) {
		d.group.mutex.Lock()
		defer d.group.mutex.Unlock()

		d.group.trouble = t
		l.note("trouble of the members: %+v", t)
	}

	set(memberTrouble{busy: 0.2})

	c := newConsumers(l, d.nodes)
	c.run("booking1", "STORE 1a4 xkqpwnzd", 25*time.Millisecond)
	time.Sleep(4 * time.Second)

	for range 4 {
		if trouble {
			t := memberTrouble{busy: 0.2, stutter: true, lost: 0.2}

			switch os.Getenv("ONLY") {
			case "stutter":
				t.lost = 0
			case "lost":
				t.stutter = false
			}

			set(t)
		}

		time.Sleep(4 * time.Second)
		set(memberTrouble{busy: 0.2, stutter: trouble && os.Getenv("ONLY") != "lost"})
		time.Sleep(3 * time.Second)
	}

	c.end()

	d.group.mutex.Lock()
	defer d.group.mutex.Unlock()

	twice, refused := 0, 0
	log := slices.Sorted(slices.Values(d.group.log))

	for i := 1; i < len(log); i++ {
		if log[i] == log[i-1] {
			l.note("%s is in the log twice", log[i])

			twice++
		}
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, a := range c.all {
		if !a.served && promised(a.detail) && !strings.Contains(a.detail, "not sent") && slices.Contains(log, a.id) {
			l.note("%s is in the log, though its consumer was told: %s", a.id, a.detail)

			refused++
		}
	}

	l.note("%d commits; %d took effect twice, %d were refused and are kept", len(log), twice, refused)

	if twice+refused > 0 {
		return 1, nil
	}

	return 0, nil
}
