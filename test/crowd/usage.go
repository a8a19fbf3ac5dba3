package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of the processes.
const sampleInterval = 20 * time.Millisecond

// Usage is what one process has taken of its machine, in bytes and in descriptors.
type Usage struct {
	Memory      int // resident memory and Held
	Held        int // what the kernel holds for connections: received and not read, or not yet acknowledged by the other end
	Descriptors int
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB at most, %d MB held by the kernel at most, %d descriptors at most", u.Memory>>20, u.Held>>20, u.Descriptors)
}

// Watch samples processes until stop is called, which returns the most that one of them had
// of each at a time.
func Watch(pids ...int) (stop func() Usage) {
	var most Usage
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			sockets := readSockets()
			for _, pid := range pids {
				u := usageOf(pid, sockets)
				most.Memory, most.Held, most.Descriptors = max(most.Memory, u.Memory), max(most.Held, u.Held), max(most.Descriptors, u.Descriptors)
			}
			select {
			case <-ended:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() Usage { close(ended); <-done; return most }
}

// States of sockets in /proc/net/tcp.
const (
	stateSynSent = "02"
	stateListen  = "0A"
)

// socket is a line of /proc/net/tcp.
type socket struct {
	port, inode string
	listening   bool
	queued      int // bytes in both queues
}

// readSockets returns the TCP sockets of the machine.
func readSockets() []socket {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	return parseSockets(string(text))
}

// parseSockets returns the sockets in a text of /proc/net/tcp.
func parseSockets(text string) []socket {
	var out []socket
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) < 10 || f[0] == "sl" {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		tx, rx, _ := strings.Cut(f[4], ":")
		s := socket{port: port, inode: f[9], listening: f[3] == stateListen}
		// The queue of a connection that is being opened is empty, but reads as any number
		// until the kernel has set both of its ends.
		if !s.listening && f[3] != stateSynSent {
			s.queued = parseHex(tx) + parseHex(rx)
		}
		out = append(out, s)
	}
	return out
}

func parseHex(text string) int {
	n, _ := strconv.ParseInt(text, 16, 64)
	return int(n)
}

// usageOf returns what a process takes now; nothing if it has ended, which other checks find.
// Connections that it has not accepted yet, or has closed, belong to the ports it listens on.
func usageOf(pid int, sockets []socket) Usage {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return Usage{}
	}
	own, ports := map[string]bool{}, map[string]bool{}
	for _, f := range files {
		target, _ := os.Readlink(filepath.Join(dir, "fd", f.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	for _, s := range sockets {
		if s.listening && own[s.inode] {
			ports[s.port] = true
		}
	}
	u := Usage{Descriptors: len(files)}
	for _, s := range sockets {
		if own[s.inode] || ports[s.port] {
			u.Held += s.queued
		}
	}
	u.Memory = residentMemory(dir) + u.Held
	return u
}

// residentMemory returns the resident memory of the process with a directory in /proc.
func residentMemory(dir string) int {
	text, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize()
}
