// Command standin-2 plays the cases of the second review. Each starts the project's sw-node
// as separate processes on loopback addresses, beside stand-ins for the platform's store,
// replicas and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// record is what is written to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER; run from the repository's root")
		os.Exit(exitCant)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCant)
	}
	rec := &record{f: f, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		killAll()
		os.Exit(exitCant)
	}()
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case can't run: %v", err)
		code = exitCant
	case broken:
		rec.say("the rule was broken")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	_ = f.Close()
	os.Exit(code)
}
