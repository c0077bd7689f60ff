// Command plant plays one case of the review against entry instances on loopback, with stand-ins of the platform and of workers that follow the
// users' pages. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is how a case ended.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases are the cases by name. Each gets a running plant and whether the disruption happens.
var cases = map[string]struct {
	setUp func(*plant)
	play  func(pl *plant, trouble bool) verdict
}{
	"cancel": {setUpCancel, playCancel},
	"leave":  {setUpLeave, playLeave},
	"upkeep": {setUpUpkeep, playUpkeep},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: plant CASE RECORD")
		os.Exit(int(notRun))
	}
	os.Exit(int(run(os.Args[1], os.Args[2])))
}

func run(name, recordPath string) verdict {
	cs, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	pl, err := newPlant(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer pl.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	pl.record("case %s, with the disruption: %v", name, trouble)
	cs.setUp(pl)
	if err := pl.startEntries(); err != nil {
		pl.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	vd := cs.play(pl, trouble)
	pl.record("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[vd])
	return vd
}
