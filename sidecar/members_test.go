package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
)

func testMembers(now *id.Instant) *members {
	return newMembers(platform.Settings{Domain: "d0", ControlAddress: "10.0.0.1:80"}, func() id.Instant { return *now })
}

// Guards against a daemon that starts with nothing and takes a copy which lags
// behind: a backend server that had left was in use again until the next fetch.
func TestFirstCopyIsTheNewestHeard(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	for i := range 20 {
		is.True(m.hear(&control.Beacon{
			Address: fmt.Sprintf("10.0.1.%d:80", i), Domain: "d0", Incarnation: 1, Sequence: 1, Revision: mirror.Revision(100 + i), Received: now,
		}))
	}
	for range 20 {
		address, found := m.ahead(0)
		is.True(found)
		is.Equal(address, "10.0.1.19:80")
	}
	// Later any daemon that is ahead will do, so that not all ask the same one.
	asked := map[string]bool{}
	for range 100 {
		address, found := m.ahead(110)
		is.True(found)
		asked[address] = true
	}
	is.True(len(asked) > 1)
	_, found := m.ahead(119)
	is.True(!found)
}

// Guards against news of a reader that is passed on for longer than the reader
// lives, and against a reader that is not known beyond those who hear it.
func TestReadersAreTold(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	reader := control.Reader{Address: "10.0.9.9:80", Domain: "d1", Link: 1000, ReadAt: now.Add(-100 * time.Millisecond)}
	second := control.Reader{Address: "10.0.9.8:80", Domain: "d2", Link: 1000, ReadAt: now}
	is.True(m.reads())
	is.True(m.hear(&control.Beacon{
		Address: "10.0.0.2:80", Domain: "d0", Incarnation: 1, Sequence: 1, ReadAge: time.Hour, Received: now,
		Readers: []control.Reader{reader, second},
	}))
	is.True(!m.reads())
	told := m.tellReaders(time.Hour)
	is.Equal(told, []control.Reader{second, reader})
	now = now.Add(readerLife + time.Second)
	is.Equal(len(m.tellReaders(time.Hour)), 0)
	is.Equal(len(m.tellReaders(0)), 1)
	is.True(m.reads())
}
