package main

import (
	"io"
	"net"
	"sync"
)

// link is a VM's way to one replica: a proxy that can be cut.
type link struct {
	addr, to string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

func startLink(to string) (*link, error) {
	l := &link{to: to, conns: map[net.Conn]struct{}{}}
	ln, err := net.Listen("tcp", listenHost)
	if err != nil {
		return nil, err
	}
	l.addr = ln.Addr().String()
	l.accept(ln)
	return l, nil
}

func (l *link) accept(ln net.Listener) {
	l.mu.Lock()
	l.ln = ln
	l.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
}

func (l *link) forward(c net.Conn) {
	up, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[up] = struct{}{}, struct{}{}
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go pump(up, c)
	go pump(c, up)
	<-done
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, up)
	l.mu.Unlock()
	_ = c.Close()
	_ = up.Close()
}

// refuse refuses new connections; those that are open live on.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.ln.Close()
}

// cut resets the connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.ln.Close()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// heal accepts connections again, at the same address.
func (l *link) heal() {
	if ln, err := net.Listen("tcp", l.addr); err == nil {
		l.accept(ln)
	}
}
