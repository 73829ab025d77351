package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call sends a request from a client of the machine, on a connection of its own.
func (f *fleet) call(ctx context.Context, m *machine, method, path string, timeout time.Duration) sent {
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("%08x%08x", f.nextID*2654435761%(1<<32), f.nextID)
	f.mu.Unlock()
	s := sent{id: id, machine: m.name, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(0)+path, strings.NewReader(""))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set(headerRequestID, id)
	request.Header.Set(wire["deadline"], strconv.FormatInt(timeout.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: m.dialer().DialContext}
	response, err := transport.RoundTrip(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.status, s.signature = response.StatusCode, response.Header.Get(wire["signature"])
		s.leaving, s.limited = response.Header.Get("Server-Leaving") == "1", response.Header.Get("Server-Limit") != ""
	}
	s.err, s.ended = err, time.Now()
	f.mu.Lock()
	f.sents = append(f.sents, s)
	f.mu.Unlock()
	return s
}

// traffic sends requests to the path at each machine, one every interval, until the context
// ends. The returned function waits for their ends.
func (f *fleet) traffic(ctx context.Context, machines []*machine, method, path string, interval, timeout time.Duration) (wait func()) {
	var senders sync.WaitGroup
	for i, m := range machines {
		senders.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(machines)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					senders.Go(func() { f.call(context.Background(), m, method, path, timeout) })
				}
			}
		})
	}
	return senders.Wait
}

// dialer returns a dialer of a client on the machine, which has the address of the machine.
// A client allows a connection one second to be established.
func (m *machine) dialer() *net.Dialer {
	return &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}}
}
