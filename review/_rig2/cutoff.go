package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// orderBytes is the size of the body of an order; the configuration allows 64 MB.
	orderBytes = 12 << 20
	// cutoffRequests is the number of orders, sent one after the other.
	cutoffRequests = 40
	// answerBytes is the size of an answer, of which a faulty target sends a half.
	answerBytes = 20_000
	// earlyBytes is how much of the body a target reads before it answers.
	earlyBytes = 64 << 10
)

// playCutoff has a target that answers long orders before it has read them whole, without
// a length. With trouble its answers break off in the middle: it resets the connection.
func playCutoff(f *fleet, trouble bool) (int, error) {
	answer := bytes.Repeat([]byte("0123456789"), answerBytes/10)
	var whole atomic.Bool
	whole.Store(true)
	early := func(x *exchange) bool {
		if x.request.ContentLength < earlyBytes {
			return plain(x)
		}
		if _, err := io.CopyN(io.Discard, x.request.Body, earlyBytes); err != nil {
			return false
		}
		if _, err := io.WriteString(x.conn, x.head()+"Connection: close\r\n\r\n"); err != nil {
			return false
		}
		if !whole.Load() {
			_, _ = x.conn.Write(answer[:answerBytes/2])
			// The daemon has read what was sent when the connection ends.
			time.Sleep(100 * time.Millisecond)
			closeConn(x.conn)
			return false
		}
		if _, err := x.conn.Write(answer); err != nil {
			return false
		}
		if tcp, ok := x.conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, x.request.Body)
		return false
	}
	for i := range 2 {
		if _, err := f.addHost(hostSpec{domain: "reduit", service: fmt.Sprint("service-", i), slots: 18, handler: early}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	configuration := platformtest.Configuration("r1", []string{"service-0", "service-1"},
		platformtest.Route("order", "/order/", "unsafe", "service-0", 4*time.Second, 1),
		platformtest.Route("far", "/far/", "unsafe", "service-1", 4*time.Second, 1))
	platformtest.SetLimits(configuration, 16<<10, 64<<20)
	f.store.Put(platformtest.ConfigurationKey, configuration)
	if err := f.start(); err != nil {
		return 0, err
	}
	client := f.hosts[0]
	if err := f.warmUp(client, "/order/", "/far/"); err != nil {
		return 0, err
	}
	whole.Store(!trouble)
	broken, counts := 0, map[string]int{}
	var mu sync.Mutex
	body := bytes.Repeat([]byte("b"), orderBytes)
	for n := range cutoffRequests {
		path := []string{"/order/", "/far/"}[n%2]
		id := fmt.Sprintf("order-%d", n)
		status, signed, received, err := f.upload(client, path, id, body)
		mu.Lock()
		how := "closed"
		switch {
		case err == nil && status == http.StatusOK && signed && bytes.Equal(received, answer):
			how = "200 whole"
		case err == nil && status == http.StatusOK:
			how = "200 cut off, as if whole"
			broken++
		case err == nil:
			how = strconv.Itoa(status)
		}
		counts[path+" "+how]++
		f.note("client: %s %s (%d bytes): %s, %d of %d bytes, signed %t, error %v", path, id, orderBytes, how, len(received), answerBytes, signed, err)
		mu.Unlock()
	}
	f.note("%v", counts)
	return broken, nil
}

// upload sends an order with a body on a new connection.
func (f *fleet) upload(h *host, path, id string, body []byte) (status int, signed bool, received []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address(portCaller)+path, bytes.NewReader(body))
	if err != nil {
		return 0, false, nil, err
	}
	request.Host = "shop.example"
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerDeadline, "4000")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, false, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	received, err = io.ReadAll(response.Body)
	return response.StatusCode, isSigned(response.Header), received, err
}
