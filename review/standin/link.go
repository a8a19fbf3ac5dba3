package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// senders has by the address of a connection the VM that has opened it through its link.
var senders sync.Map

// link is a TCP proxy: the path from one VM to one replica, or to another VM.
type link struct {
	target, addr string
	source       string        // name of the VM whose link it is
	delay        time.Duration // one way

	mu       sync.Mutex
	listener *net.TCPListener
	reserved int // socket that keeps the port while connections are refused
	conns    map[net.Conn]bool
	fillers  []net.Conn    // take up the queue of new connections while the link hangs
	gate     chan struct{} // closed: bytes pass
}

func startLink(target string, delay time.Duration) (*link, error) {
	l := &link{target: target, delay: delay, conns: map[net.Conn]bool{}, gate: make(chan struct{})}
	close(l.gate)
	if err := l.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.addr = l.listener.Addr().String()
	return l, nil
}

func (l *link) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l.listener = ln.(*net.TCPListener)
	go l.accept(l.listener)
	return nil
}

// refuse resets the open connections and refuses new ones.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	addr := l.listener.Addr().(*net.TCPAddr)
	_ = l.listener.Close()
	l.listener = nil
	if fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err == nil {
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		_ = syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte{127, 0, 0, 1}})
		l.reserved = fd
	}
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// hang lets nothing pass on the open connections, and new ones hang.
func (l *link) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = make(chan struct{})
	if raw, err := l.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	_ = l.listener.SetDeadline(time.Unix(1, 0)) // nobody accepts
	for range 3 {
		c, err := net.DialTimeout("tcp", l.addr, 20*time.Millisecond)
		if err != nil {
			return // the queue of new connections is full
		}
		l.fillers = append(l.fillers, c)
	}
}

// heal ends a cut.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.fillers) > 0 {
		for _, c := range l.fillers {
			_ = c.Close()
		}
		l.fillers = nil
		_ = l.listener.Close() // with what waits in its queue
		l.listener = nil
		// What hung on the connections is lost.
		for c := range l.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		close(l.gate)
	}
	if l.listener != nil {
		return
	}
	if l.reserved != 0 {
		_ = syscall.Close(l.reserved)
		l.reserved = 0
	}
	_ = l.listen(l.addr)
}

func (l *link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	senders.Store(up.LocalAddr().String(), l.source)
	defer senders.Delete(up.LocalAddr().String())
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	go l.pump(up, c)
	l.pump(c, up)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// pump copies from src to dst, each piece later by the delay, and then closes both.
func (l *link) pump(dst, src net.Conn) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now().Add(l.delay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		l.mu.Lock()
		gate := l.gate
		l.mu.Unlock()
		<-gate
		if _, err := dst.Write(p.data); err != nil {
			break
		}
	}
	_, _ = dst.Close(), src.Close()
	for range pieces {
	}
}
