// Command stage plays the script cases of the second independent review: it starts edge nodes as
// processes around stand-ins of the platform, and judges what clients and replicas see.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func randomN(n int) int { return rand.IntN(n) }

// cases are the script cases. Each returns whether the rule was broken.
var cases = map[string]func(s *stage, trouble bool) (broken bool){
	"quota-cut":   quotaCut,
	"drain-drill": drainDrill,
	"cold-start":  coldStart,
	"turned":      turned,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func run(play func(s *stage, trouble bool) bool, record string, trouble bool) (code int) {
	var s *stage
	defer func() {
		if s != nil {
			s.close()
		}
		if cause := recover(); cause != nil {
			fmt.Println("the case could not run:", cause)
			code = exitNotRun
		}
	}()
	s = newStage(record)
	watchdog := time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case could not run: it takes too long")
		os.Exit(exitNotRun) // the nodes end with this process
	})
	defer watchdog.Stop()
	if play(s, trouble) {
		s.note("the rule was broken")
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}

// load sends requests of some clients at a rate, by chance, until the time has passed.
func (s *stage) load(clients []*client, perSecond float64, lasting time.Duration, path string) {
	var under sync.WaitGroup
	end := time.Now().Add(lasting)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		sender := clients[rand.IntN(len(clients))]
		under.Go(func() { sender.send("GET", path, nil) })
	}
	under.Wait()
}
