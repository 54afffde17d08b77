// Command harness plays the cases of the review: it starts edge nodes as separate processes on
// loopback addresses, and plays the users' platform, replicas and clients around them.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play runs one case and returns whether its rule held.
type play func(s *stage) (held bool, err error)

var plays = map[string]play{
	"surplus-rejection": playSurplusRejection,
	"cut-answer":        playCutAnswer,
	"crashing-caller":   playCrashingCaller,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/doorpond-edge", "program of an edge node")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	length := flag.Duration("length", 30*time.Second, "length of the traffic")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	chosen, found := plays[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	s, err := newStage(*program, *recordPath, *length, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	held, err := chosen(s)
	closeErr := s.close()
	if failure := errors.Join(err, closeErr); failure != nil {
		fmt.Fprintln(os.Stderr, failure)
	}
	switch {
	case err != nil:
		return exitFailed
	case !held:
		return exitBroken
	case closeErr != nil:
		return exitFailed
	default:
		return exitHeld
	}
}
