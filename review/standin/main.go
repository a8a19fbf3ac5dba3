// Command review-standin plays the scripted cases of the review: it starts sw-node
// processes as the deploy file does, beside stand-ins for the store, replicas and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// record is the file in which a case writes what happened.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

// at formats a time as seconds since the case began.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds()) }

// summary writes a line to the record and to standard output.
func (r *record) summary(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

var cases = map[string]func(d *deployment, trouble bool) (int, error){}

func main() {
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(cantRun)
	}
	os.Exit(start(play, *out, os.Getenv("TROUBLE") != "0"))
}

func start(play func(d *deployment, trouble bool) (int, error), out string, trouble bool) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, begin: time.Now()}
	d, err := newDeployment(rec)
	if err != nil {
		rec.summary("can't run: %v", err)
		return cantRun
	}
	defer d.stop()
	result, err := play(d, trouble)
	if err != nil {
		rec.summary("can't run: %v", err)
		return cantRun
	}
	rec.summary("exit %d", result)
	return result
}
