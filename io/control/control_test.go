package control

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/gossip"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/io/http1"
)

// received is when the beacons in these tests arrive.
const received = id.Instant(time.Hour)

// Guards against loads or revisions being decoded wrongly, and against values that
// exceed the range of their field.
func TestBeaconRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := Beacon{
		Domain: "reduit", Incarnation: 7, Sequence: 9, AsOf: mirror.Position{Era: 1 << 33, Revision: 1 << 40}, StoreAge: 20 * time.Millisecond, ReadAge: 3 * time.Second, Link: 750_000,
		Period: 200 * time.Millisecond, Received: received,
		Load: placement.Report{
			Server: "i-1", Running: 3, Queued: 70000, Slots: 18, Service: 150 * time.Millisecond, Leaving: true,
			FailureRate: 0.25, LinkWait: 400 * time.Millisecond, TransferTime: 120 * time.Millisecond, At: received,
		},
		Near: []placement.Report{{Server: "i-2", Running: 1, Slots: 18, At: received.Add(-300 * time.Millisecond)}},
		Far: []placement.Report{
			{Server: "i-3", Running: 2, Slots: 18, At: received.Add(-time.Second)},
			{Server: "i-4", FailureRate: 0.5, Slots: 18, At: received.Add(-2 * time.Second)},
		},
		Readers: []Reader{{Address: "10.0.0.1:80", Domain: "ebene", Link: 1_250_000, ReadAt: received.Add(-40 * time.Millisecond)}},
	}
	got, err := decodeBeacon(encodeBeacon(&sent, received), received)
	is.NoErr(err)
	sent.Load.Queued = 65535
	is.Equal(got, sent)
	sent.Load.Queued = -1
	got, err = decodeBeacon(encodeBeacon(&sent, received), received)
	is.NoErr(err)
	is.Equal(got.Load.Queued, 0)
	// The age is relative to the arrival: a relayed report stays as old as it was
	// when sent.
	sent.Load.At = received.Add(-250 * time.Millisecond)
	got, err = decodeBeacon(encodeBeacon(&sent, received), received.Add(time.Hour))
	is.NoErr(err)
	is.Equal(got.Load.At, received.Add(time.Hour-250*time.Millisecond))
}

// Guards against a full beacon that exceeds one datagram, and against lists that are
// longer than what a daemon sends.
func TestBeaconSizeIsBounded(t *testing.T) {
	is := is.New(t)
	const name = "i-0123456789abcdef"
	beacon := Beacon{Domain: "failure-domain-a", Load: placement.Report{Server: name}}
	for range gossip.MaxNearReports {
		beacon.Near = append(beacon.Near, placement.Report{Server: name, At: received})
	}
	for range gossip.MaxFarReports {
		beacon.Far = append(beacon.Far, placement.Report{Server: name, At: received})
	}
	for range 4 {
		beacon.Readers = append(beacon.Readers, Reader{Address: "100.100.100.100:65535", Domain: "failure-domain-a", ReadAt: received})
	}
	data := encodeBeacon(&beacon, received)
	const largestPayload = 1472
	is.True(len(data) <= largestPayload)
	is.True(len(data) <= maxBeaconBytes)
	for i := range data {
		_, err := decodeBeacon(data[:i], received)
		is.True(err != nil)
	}
	beacon.Near = make([]placement.Report, 1000)
	got, err := decodeBeacon(encodeBeacon(&beacon, received), received)
	is.NoErr(err)
	is.Equal(len(got.Near), maxListLength)
}

// Guards against a malformed datagram crashing a daemon.
func FuzzDecodeBeacon(f *testing.F) {
	f.Add(encodeBeacon(&Beacon{
		Domain: "reduit", Load: placement.Report{Server: "i-1"}, Near: []placement.Report{{Server: "i-2"}}, Readers: []Reader{{Address: "a"}},
	}, received))
	f.Fuzz(func(t *testing.T, data []byte) {
		if beacon, err := decodeBeacon(data, received); err == nil {
			if _, err := decodeBeacon(encodeBeacon(&beacon, received), received); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a malformed response crashing a daemon.
func FuzzDecodeChanges(f *testing.F) {
	var out bytes.Buffer
	if err := encodeChanges(&out, transfer{Changes: mirror.Changes{Events: []mirror.Item{{Key: "a", Value: []byte("b")}}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(out.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Only panics matter; errors are expected.
		_, _ = decodeChanges(bytes.NewReader(data))
	})
}

// Guards against a daemon without access to the store staying behind its peer: the
// peer's changes arrive while it waits, and the whole state when it has none.
func TestFollowerFetchesChanges(t *testing.T) {
	is := is.New(t)
	source, follower := mirror.New(), mirror.New()
	source.Replace([]mirror.Item{{Key: "a", Value: []byte("1"), Revision: 3}}, firstEra(4))
	server := httptest.NewServer(NewHandler(source, func() time.Duration { return 250 * time.Millisecond }))
	defer server.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	client := NewClient(pool)
	address := strings.TrimPrefix(server.URL, "http://")
	changes, age, err := client.Changes(context.Background(), address, Query{})
	is.NoErr(err)
	is.True(changes.Whole)
	is.Equal(age, 250*time.Millisecond)
	_, err = follower.Apply(changes)
	is.NoErr(err)
	go func() {
		_, _ = source.Apply(mirror.Changes{After: firstEra(4), Events: []mirror.Item{{Key: "b", Revision: 5}}, AsOf: firstEra(5)})
	}()
	changes, _, err = client.Changes(context.Background(), address, Query{After: follower.AsOf(), Wait: 5 * time.Second})
	is.NoErr(err)
	_, err = follower.Apply(changes)
	is.NoErr(err)
	is.Equal(follower.AsOf(), firstEra(5))
	response, err := pool.Do(context.Background(), address, &http1.Request{
		Method: http.MethodGet, Target: "/changes?after=x&wait_ms=0", Host: address, Header: http.Header{},
	})
	is.NoErr(err)
	is.Equal(response.Status, http.StatusBadRequest)
}

// Guards against the whole fleet fetching a large configuration from the first daemon
// that has it, over a link of a few Mbit/s, which delays all of them.
func TestTransfersAreBounded(t *testing.T) {
	is := is.New(t)
	source := mirror.New()
	source.Replace([]mirror.Item{{Key: "a", Revision: 3}}, firstEra(4))
	handler := NewHandler(source, func() time.Duration { return 0 })
	for range maxTransfers {
		handler.transfers <- struct{}{}
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	address := strings.TrimPrefix(server.URL, "http://")
	_, _, err := NewClient(pool).Changes(context.Background(), address, Query{})
	is.True(errors.Is(err, ErrBusy))
	<-handler.transfers
	_, _, err = NewClient(pool).Changes(context.Background(), address, Query{})
	is.NoErr(err)
}

// Guards against a panic while one beacon is handled ending the receive loop or the
// process.
func TestBeaconPanicIsContained(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	domains, failed := make(chan string, 2), make(chan error, 2)
	receiver := NewGossip(conn, GossipOptions{
		Now: func() id.Instant { return received },
		OnBeacon: func(beacon *Beacon) {
			if beacon.Domain == "bad" {
				panic("unexpected")
			}
			domains <- string(beacon.Domain)
		},
		OnError: func(err error) { failed <- err },
	})
	ended := make(chan struct{})
	go func() {
		receiver.Receive()
		close(ended)
	}()
	out, err := net.Dial("udp4", conn.LocalAddr().String())
	is.NoErr(err)
	defer func() { _ = out.Close() }()
	for _, data := range [][]byte{
		encodeBeacon(&Beacon{Domain: "bad"}, received), []byte("malformed"), encodeBeacon(&Beacon{Domain: "good"}, received),
	} {
		_, err := out.Write(data)
		is.NoErr(err)
	}
	is.True(contain.Stack(<-failed) != "")
	is.Equal(contain.Stack(<-failed), "")
	is.Equal(<-domains, "good")
	is.NoErr(conn.Close())
	<-ended
}
