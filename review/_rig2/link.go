package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkPart is the part of an answer that a hostLink passes on at once.
const linkPart = 4 << 10

// hostLink passes on what a host reads of the store, at the rate of the host's link. What
// the host sends is not delayed.
type hostLink struct {
	listener net.Listener
	store    string
	// perSecond is the rate in bytes.
	perSecond float64

	mu sync.Mutex
	// free is when the link has passed on all that was given to it.
	free time.Time
	// passed counts the bytes passed on.
	passed int64
	conns  map[net.Conn]struct{}
}

func newHostLink(address, store string, mbps float64) (*hostLink, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &hostLink{listener: listener, store: store, perSecond: mbps * 1e6 / 8, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *hostLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *hostLink) serve(conn net.Conn) {
	defer l.forget(conn)
	store, err := net.Dial("tcp4", l.store)
	if err != nil {
		return
	}
	defer l.forget(store)
	l.mu.Lock()
	l.conns[conn], l.conns[store] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go func() {
		// The host has closed its connection, or the store has.
		_, _ = io.Copy(store, conn)
		_ = store.Close()
	}()
	part := make([]byte, linkPart)
	for {
		n, err := store.Read(part)
		l.pass(n)
		if _, writeErr := conn.Write(part[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// pass waits until the link has passed on n more bytes.
func (l *hostLink) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.perSecond * float64(time.Second)))
	until := l.free
	l.passed += int64(n)
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// bytes returns the number of bytes passed on.
func (l *hostLink) bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

func (l *hostLink) forget(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

func (l *hostLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}
