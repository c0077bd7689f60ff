// Command stand plays a small deployment on loopback addresses for the scripts under review/: the platform's store, its machine service, workers and
// clients, around real processes of the project. It follows the users' pages and judges one rule per case by what clients and workers have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxCaseTime bounds one case.
const maxCaseTime = 115 * time.Second

// cases are the scripted cases by name. A case returns what it saw of the broken rule, or an empty text if the rule held.
var cases = map[string]func(*world) (string, error){
	"ends":    caseEnds,
	"row":     caseRow,
	"rename":  caseRename,
	"gang":    caseGang,
	"pending": casePending,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD; TROUBLE=0 leaves the disruption out")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	wd := newWorld(rec, os.Getenv("TROUBLE") != "0")
	defer wd.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		rec.add("the case was interrupted")
		wd.stop()
		rec.close()
		os.Exit(exitFailed)
	}()
	time.AfterFunc(maxCaseTime, func() {
		rec.add("the case took too long")
		wd.stop()
		rec.close()
		os.Exit(exitFailed)
	})
	broken, err := cases[os.Args[1]](wd)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		rec.add("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
