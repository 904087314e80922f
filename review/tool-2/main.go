// Command review2 runs the cases of the second review that are scripts. It starts the programs of the deploy file on
// loopback addresses, with stand-ins for clients, members and the platform.
package main

import (
	"fmt"
	"os"
)

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]func(*lab, bool) (int, error){
		"repair": repair, "odd": odd, "crowd": crowd, "stutter": stutter, "lost": lost, "inject": inject,
	}

	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE FOLDER")

		return 2
	}

	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Println(err)

		return 2
	}
	defer l.close()

	code, err := cases[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Println(err)
	}

	l.note("exit %d", code)

	return code
}
