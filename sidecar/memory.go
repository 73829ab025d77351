package sidecar

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/platform"
)

const (
	// defaultMemoryBytes is the memory of the process if the settings do not say.
	defaultMemoryBytes = 128 << 20
	// heldShare is the share of the process's memory for the bytes of others.
	heldShare = 0.25
	// callerMemoryShare and hopMemoryShare are the shares for the connections of clients and
	// of other daemons, otherMemoryShare for those to control, readiness and metrics, and
	// connectionBytes is what one of them needs: stacks of its goroutines and buffers.
	callerMemoryShare = 0.2
	hopMemoryShare    = 0.1
	otherMemoryShare  = 0.05
	connectionBytes   = 40 << 10
	// fileDescriptors is how many of the process's descriptors are reserved for files.
	fileDescriptors = 200
	// callerDescriptorShare, hopDescriptorShare and otherDescriptorShare are the shares of
	// the remaining descriptors. The rest is for connections to the backend server, to
	// other daemons and to the store.
	callerDescriptorShare = 0.5
	hopDescriptorShare    = 0.15
	otherDescriptorShare  = 0.1
	// receiveBuffer limits what the kernel receives of a client before it is read; it would
	// otherwise take up to 6 MB a connection. Linux doubles it, and about 23 KB fit: with
	// 64 KB, 504 connections held 59 MB. 20 KB in 5 ms are 32 Mbit/s.
	receiveBuffer = 16 << 10
	// memoryLogInterval is the time between two lines on a shortage.
	memoryLogInterval = time.Second
)

// newAccount returns the account of the bytes of others.
func newAccount(settings *platform.Settings) *holdings.Account {
	memory := settings.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return holdings.New(int64(heldShare * float64(memory)))
}

// maxConnections returns how many connections a listener may have, or zero without limit.
func maxConnections(settings *platform.Settings, descriptorShare, memoryShare float64) int {
	limit := 0
	if settings.Descriptors > 0 {
		limit = max(1, int(descriptorShare*float64(settings.Descriptors-fileDescriptors)))
	}
	if settings.MemoryBytes <= 0 {
		return limit
	}
	byMemory := int(memoryShare * float64(settings.MemoryBytes) / connectionBytes)
	if limit <= 0 {
		return byMemory
	}
	return min(limit, byMemory)
}

// newPlaces returns the account of a listener's connections, or nil without a limit.
func newPlaces(settings *platform.Settings, descriptorShare, memoryShare float64) *holdings.Account {
	limit := maxConnections(settings, descriptorShare, memoryShare)
	if limit <= 0 {
		return nil
	}
	return holdings.New(int64(limit))
}

// limitReceiveBuffer sets the receive buffer of a listener and its connections.
func limitReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	if err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}); err != nil {
		return err
	}
	return sockoptErr
}

// countEarlyRefusal counts a request that was refused for memory before the handler has
// seen it.
func (d *Daemon) countEarlyRefusal(err error) {
	if errors.Is(err, http1.ErrMemoryFull) || errors.Is(err, http1.ErrStalled) {
		d.metrics.Refusal(refusal.MemoryFull)
	}
}

// registerMemoryGauges registers the gauges of what the daemon holds for others.
func (d *Daemon) registerMemoryGauges() error {
	err := d.metrics.LabeledGauges("marjoramsaddle_held_bytes", "Bytes of requests and responses held, by purpose.", "purpose",
		func(observe func(string, int64)) {
			for _, purpose := range holdings.Purposes() {
				if purpose != holdings.Connection {
					observe(purpose.String(), d.account.Held(purpose))
				}
			}
		})
	if err != nil {
		return err
	}
	return d.metrics.Gauge("marjoramsaddle_held_bytes_limit", "Bytes of requests and responses that may be held.", d.account.Limit)
}

// logShortage logs at most once in an interval that requests were refused or given up
// because memory or connections were short.
func (d *Daemon) logShortage(ctx context.Context, connections ...*holdings.Account) {
	ticker := time.NewTicker(memoryLogInterval)
	defer ticker.Stop()
	accounts := append([]*holdings.Account{d.account}, connections...)
	logged := sum(accounts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stats := sum(accounts)
		if stats == logged {
			continue
		}
		d.log.Warn("memory or connections are short", zap.Uint64("refused", stats.Refused-logged.Refused),
			zap.Uint64("given_up", stats.Revoked-logged.Revoked), zap.Int64("held_bytes", d.account.Total()),
			zap.Int64("limit_bytes", d.account.Limit()))
		logged = stats
	}
}

// sum adds up the counts of the accounts, each of which may be nil.
func sum(accounts []*holdings.Account) holdings.Stats {
	var total holdings.Stats
	for _, account := range accounts {
		if account == nil {
			continue
		}
		stats := account.Stats()
		total.Refused += stats.Refused
		total.Revoked += stats.Revoked
	}
	return total
}
