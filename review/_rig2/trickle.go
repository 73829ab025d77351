package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// trickleConns is the number of connections of the client that holds them, and
	// tricklePause the time between two requests on one of them.
	trickleConns = 1_050
	tricklePause = 800 * time.Millisecond
	// trickleLead is the time that it has before the ordinary clients are judged.
	trickleLead = 6 * time.Second
	// trickleClients is the number of ordinary clients, which connect within trickleSpan,
	// the stable window of the sheets.
	trickleSpan    = 3 * time.Second
	trickleClients = 20
	// orderTimeout is the timeout of their route, and orderDeadline the time that they wait.
	orderTimeout  = time.Second
	orderDeadline = 2500 * time.Millisecond
	// timeoutSlack is how long after the timeout of the route the rule allows.
	timeoutSlack = 500 * time.Millisecond
	// connectTime is the time that clients allow for a new connection.
	connectTime = time.Second
)

// playTrickle has one client hold many connections, on each of which it sends a small
// request and the first byte of the next one every 0.8 s. Ordinary clients of the same
// machine try to have orders run meanwhile.
func playTrickle(f *fleet, trouble bool) (int, error) {
	for _, service := range []string{"counter", "depot"} {
		if _, err := f.addHost(hostSpec{domain: "reduit", service: service, slots: 18, handler: plain, memoryMB: 184}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration("r1", []string{"counter", "depot"},
		platformtest.Route("shop", "/shop/", "unsafe", "counter", orderTimeout, 1)))
	if err := f.start(); err != nil {
		return 0, err
	}
	client := f.hosts[0]
	if err := f.warmUp(client, "/shop/"); err != nil {
		return 0, err
	}
	if trouble {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var open, sent atomic.Int64
		for n := range trickleConns {
			go trickle(ctx, client, n, &open, &sent)
		}
		time.Sleep(trickleLead)
		before := sent.Load()
		time.Sleep(time.Second)
		f.note("one client holds %d connections and sends %d bytes a second on all of them together", open.Load(), sent.Load()-before)
		if open.Load() < trickleConns*9/10 {
			return 0, errors.New("too few connections: raise the limit of open files")
		}
	}
	// Half of the ordinary clients have an address of their own.
	ips := []string{client.ip, otherIP(client.ip)}
	var asking sync.WaitGroup
	var late atomic.Int64
	for n := range trickleClients {
		asking.Go(func() {
			time.Sleep(time.Duration(n) * trickleSpan / trickleClients)
			if !f.order(client, ips[n%len(ips)], fmt.Sprint("order-", n)) {
				late.Add(1)
			}
		})
	}
	asking.Wait()
	f.note("%s says it is ready: %t; %d of %d orders had no answer %v after the timeout of their route", client.name, client.ready(),
		late.Load(), trickleClients, timeoutSlack)
	// The rule is broken by eight or more, and more than a half.
	if late.Load() <= trickleClients/2 {
		return 0, nil
	}
	return int(late.Load()), nil
}

// dialer returns a dialer for processes at the IP address.
func dialer(ip string) *net.Dialer {
	return &net.Dialer{Timeout: connectTime, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// order sends an order on a new connection, as ordinary clients do, and reports whether the
// answer came in time.
func (f *fleet) order(h *host, ip, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), orderDeadline)
	defer cancel()
	sent := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address(portCaller)+"/shop/", http.NoBody)
	if err != nil {
		return false
	}
	request.Host = "shop.example"
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerDeadline, strconv.FormatInt(orderDeadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer(ip).DialContext}
	response, err := transport.RoundTrip(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(sent)
	f.note("client at %s: %s: status %d, error %v after %.3f s", ip, id, status, err, took.Seconds())
	return err == nil && took <= orderTimeout+timeoutSlack
}

// trickle holds a connection until the context ends.
func trickle(ctx context.Context, h *host, n int, open, sent *atomic.Int64) {
	time.Sleep(time.Duration(n) * tricklePause / trickleConns)
	request := "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n"
	for ctx.Err() == nil {
		conn, err := dialer(h.ip).DialContext(ctx, "tcp4", h.address(portCaller))
		if errors.Is(err, syscall.EMFILE) {
			return
		}
		if err != nil {
			continue
		}
		open.Add(1)
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		text := request + request[:1]
		for {
			written, err := io.WriteString(conn, text)
			sent.Add(int64(written))
			if err != nil {
				break
			}
			text = request[1:] + request[:1]
			time.Sleep(tricklePause)
		}
		stop()
		_ = conn.Close()
		open.Add(-1)
	}
}

// otherIP returns another address of the network of the host.
func otherIP(ip string) string { return ip[:strings.LastIndexByte(ip, '.')] + ".200" }
