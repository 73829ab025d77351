package member

import (
	"maps"
	"slices"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/refusal"
)

const (
	// mismatchLimit is how long digests may differ before a repair. Changes
	// under way make them differ for a moment.
	mismatchLimit = 2 * time.Second
	// startInterval is the time between two repairs of a host whose table has
	// not settled. A transfer of 5,400 entries takes 27 ticks, or 1.35 s.
	startInterval = time.Second
	batchEntries  = 200
	maxTransfers  = 32
	// fullBuckets is the number of differing buckets from which a repair
	// counts as a full transfer.
	fullBuckets  = endpoint.Buckets / 2
	busyRetryMin = 500 * time.Millisecond
	busyRetryMax = 2 * time.Second
)

// peer is the state of the table synchronisation over one link.
type peer struct {
	// mismatch is since when the digests differ, or zero.
	mismatch id.Instant
	// retry is the earliest time of the next repair.
	retry id.Instant
	// outgoing holds the entries still to be sent.
	outgoing []endpoint.Entry
	full     bool
	// busy is true when the peer has put a repair off.
	busy bool
}

func (p *plugin) peer(host id.Host) *peer {
	state, known := p.peers[host]
	if !known {
		state = &peer{}
		p.peers[host] = state
	}
	return state
}

// greeted starts a repair at once when the tables differ, since the host may
// be new or was away. The dialling host starts it.
func (p *plugin) greeted(at id.Instant, host id.Host, digest uint64, out *kernel.Output) {
	p.peers[host] = &peer{}
	p.informOwner(host, out)
	if digest != p.shared.Table.Digest() && p.shared.Links[host].Outbound && p.mayStart(at) {
		p.startRepair(at, host, out)
	}
}

// mayStart spaces the repairs of a host that has just started, so that it does
// not receive the whole table from each neighbour that it greets.
func (p *plugin) mayStart(at id.Instant) bool {
	return p.shared.TableSettled || p.repairedAt == 0 || at.Sub(p.repairedAt) >= startInterval
}

// informOwner sends a host that is heard the entry that says otherwise, so
// that it refutes it.
func (p *plugin) informOwner(host id.Host, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if known && !entry.Live() {
		sendEntries(host, []endpoint.Entry{entry}, out)
	}
}

func (p *plugin) startRepair(at id.Instant, host id.Host, out *kernel.Output) {
	state := p.peer(host)
	if at.Before(state.retry) {
		return
	}
	state.retry = at.Add(mismatchLimit)
	p.repairedAt = at
	buckets := p.shared.Table.BucketDigests()
	out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_TableDigest{
		TableDigest: &message.TableDigest{Buckets: buckets[:]},
	}}})
	out.Emit(kernel.Count{Name: "table_repair"})
}

// compare handles the digest of a heartbeat. Of the two ends of a link, the
// lexically smaller one starts the repair.
func (p *plugin) compare(at id.Instant, host id.Host, digest uint64, out *kernel.Output) {
	p.informOwner(host, out)
	state := p.peer(host)
	switch {
	case digest == p.shared.Table.Digest():
		state.mismatch = 0
	case !p.shared.TableSettled && p.mayStart(at):
		p.startRepair(at, host, out)
	case state.mismatch == 0:
		state.mismatch = at
	case at.Sub(state.mismatch) >= mismatchLimit && p.env.Self.Host < host:
		p.startRepair(at, host, out)
	}
}

func (p *plugin) digestReceived(host id.Host, digest *message.TableDigest, out *kernel.Output) {
	theirs := digest.GetBuckets()
	if len(theirs) != endpoint.Buckets {
		out.Emit(kernel.Count{Name: "message_refused", Label: refusal.BadRequest.String()})
		return
	}
	var differing [endpoint.Buckets]bool
	var wanted []uint32
	for index, mine := range p.shared.Table.BucketDigests() {
		if mine != theirs[index] {
			differing[index] = true
			wanted = append(wanted, uint32(index))
		}
	}
	if len(wanted) > 0 && p.transfer(host, differing, len(wanted), out) {
		out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_TableWant{
			TableWant: &message.TableWant{Buckets: wanted},
		}}})
	}
}

func (p *plugin) wantReceived(host id.Host, want *message.TableWant, out *kernel.Output) {
	var wanted [endpoint.Buckets]bool
	count := 0
	for _, bucket := range want.GetBuckets() {
		if bucket < endpoint.Buckets && !wanted[bucket] {
			wanted[bucket] = true
			count++
		}
	}
	p.transfer(host, wanted, count, out)
}

// transfer queues the entries of the given buckets. It reports whether the
// transfer was accepted.
func (p *plugin) transfer(host id.Host, buckets [endpoint.Buckets]bool, count int, out *kernel.Output) bool {
	state := p.peer(host)
	full := count >= fullBuckets && p.shared.Table.Len() > batchEntries
	if full && !state.full && p.fullTransfers() >= maxTransfers {
		p.refuseTransfer(host, out)
		return false
	}
	state.full = full
	state.outgoing = p.shared.Table.InBuckets(buckets)
	return true
}

func (p *plugin) fullTransfers() int {
	count := 0
	for _, state := range p.peers {
		if state.full {
			count++
		}
	}
	return count
}

func (p *plugin) refuseTransfer(host id.Host, out *kernel.Output) {
	spread := p.random.Int64N(int64(busyRetryMax - busyRetryMin))
	wait := busyRetryMin + time.Duration(spread)
	out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_Busy{
		Busy: &message.Busy{RetryAfterMs: uint32(wait.Milliseconds())},
	}}})
	out.Emit(kernel.Count{Name: "transfer_refused", Label: refusal.Busy.String()})
}

func (p *plugin) busyReceived(at id.Instant, host id.Host, busy *message.Busy) {
	state := p.peer(host)
	state.busy = true
	state.retry = at.Add(time.Duration(busy.GetRetryAfterMs()) * time.Millisecond)
}

// retryRepairs repeats a repair that a busy peer has put off.
func (p *plugin) retryRepairs(at id.Instant, out *kernel.Output) {
	for _, host := range slices.Sorted(maps.Keys(p.peers)) {
		state := p.peers[host]
		if state.busy && at >= state.retry {
			state.busy = false
			p.startRepair(at, host, out)
		}
	}
}

// sendTransfers sends one batch of each running transfer.
func (p *plugin) sendTransfers(out *kernel.Output) {
	for _, host := range slices.Sorted(maps.Keys(p.peers)) {
		state := p.peers[host]
		if len(state.outgoing) == 0 {
			state.full = false
			continue
		}
		batch := state.outgoing[:min(batchEntries, len(state.outgoing))]
		state.outgoing = state.outgoing[len(batch):]
		sendEntries(host, batch, out)
	}
}

// sendChanges sends the entries changed since the last tick over all links but
// the ones that they came from.
func (p *plugin) sendChanges(out *kernel.Output) {
	if len(p.changed) == 0 {
		return
	}
	hosts := slices.Sorted(maps.Keys(p.changed))
	for _, peer := range p.shared.LinkHosts() {
		var batch []endpoint.Entry
		for _, host := range hosts {
			entry, known := p.shared.Table.Get(host)
			if known && p.changed[host] != peer {
				batch = append(batch, entry)
			}
		}
		for part := range slices.Chunk(batch, batchEntries) {
			sendEntries(peer, part, out)
		}
	}
	clear(p.changed)
}

func sendEntries(host id.Host, entries []endpoint.Entry, out *kernel.Output) {
	out.Emit(kernel.Send{Host: host, Frame: message.NewEntriesFrame(entries)})
}

// merge adopts the entries that are news. An unknown host that is dead is no
// news: its entry has been removed here.
//
// A host that has just started does not send on the rows of a transfer: they
// are news to it alone. Sending them on would carry the whole table over each
// of its links.
func (p *plugin) merge(from id.Host, entries *message.Entries, out *kernel.Output) {
	transfer := !p.shared.TableSettled && len(entries.GetEntries()) >= batchEntries
	for _, row := range entries.GetEntries() {
		entry, valid := row.Endpoint()
		_, known := p.shared.Table.Get(entry.Host)
		switch {
		case !valid:
			out.Emit(kernel.Count{Name: "message_refused", Label: refusal.BadRequest.String()})
		case entry.Host == p.env.Self.Host:
			p.claimed(entry, out)
		case !known && entry.State == endpoint.Dead:
		case transfer:
			p.shared.Table.Merge(entry)
		default:
			p.adopt(entry, from)
		}
	}
}
