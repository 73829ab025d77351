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
	// mismatchGrace is how long digests may differ before a repair starts. Changes in
	// transit make them differ briefly.
	mismatchGrace = 2 * time.Second
	// initialRepairInterval is the shortest time between two repairs that a host
	// requests before its table has settled. A transfer of 5,400 entries takes 27
	// ticks, or 1.35 s.
	initialRepairInterval = time.Second
	entriesPerBatch       = 200
	maxFullTransfers      = 32
	// fullTransferBuckets is the number of differing buckets from which a repair
	// counts as a full transfer.
	fullTransferBuckets = endpoint.Buckets / 2
	busyRetryMin        = 500 * time.Millisecond
	busyRetryMax        = 2 * time.Second
)

// peer holds the state of table synchronisation over one link.
type peer struct {
	// mismatchSince is when the digests began to differ, or zero while they match.
	mismatchSince id.Instant
	// nextRepairAt is the earliest time of the next repair.
	nextRepairAt id.Instant
	// outgoing holds the entries that remain to be sent.
	outgoing     []endpoint.Entry
	fullTransfer bool
	// busy is true after the peer has deferred a repair, until it is retried.
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

// helloReceived starts a repair immediately when the tables differ, since the peer
// may be new or was disconnected. The dialling host starts it.
func (p *plugin) helloReceived(at id.Instant, host id.Host, digest uint64, out *kernel.Output) {
	p.peers[host] = &peer{}
	p.informOwner(host, out)
	if digest != p.shared.Table.Digest() && p.shared.Links[host].Outbound && p.mayRepair(at) {
		p.startRepair(at, host, out)
	}
}

// mayRepair spaces out the repairs of a newly started host, so that it does not
// receive the whole table from each neighbour that it connects to.
func (p *plugin) mayRepair(at id.Instant) bool {
	return p.shared.TableSettled || p.lastRepairAt == 0 || at.Sub(p.lastRepairAt) >= initialRepairInterval
}

// informOwner sends a host that is reachable the entry that marks it as suspect or
// dead, so that it refutes it.
func (p *plugin) informOwner(host id.Host, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if known && !entry.Live() {
		sendEntries(host, []endpoint.Entry{entry}, out)
	}
}

func (p *plugin) startRepair(at id.Instant, host id.Host, out *kernel.Output) {
	state := p.peer(host)
	if at.Before(state.nextRepairAt) {
		return
	}
	state.nextRepairAt = at.Add(mismatchGrace)
	p.lastRepairAt = at
	buckets := p.shared.Table.BucketDigests()
	out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_TableDigest{
		TableDigest: &message.TableDigest{Buckets: buckets[:]},
	}}})
	out.Emit(kernel.Count{Name: "table_repair"})
}

// heartbeatReceived compares the digest of a heartbeat with the local one. Once the
// table has settled, the end of the link with the lexically smaller host name starts
// the repair.
func (p *plugin) heartbeatReceived(at id.Instant, host id.Host, digest uint64, out *kernel.Output) {
	p.informOwner(host, out)
	state := p.peer(host)
	switch {
	case digest == p.shared.Table.Digest():
		state.mismatchSince = 0
	case !p.shared.TableSettled && p.mayRepair(at):
		p.startRepair(at, host, out)
	case state.mismatchSince == 0:
		state.mismatchSince = at
	case at.Sub(state.mismatchSince) >= mismatchGrace && p.env.Self.Host < host:
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
	if len(wanted) > 0 && p.queueTransfer(host, differing, len(wanted), out) {
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
	p.queueTransfer(host, wanted, count, out)
}

// queueTransfer queues the entries of the given buckets for sending. It returns false
// when too many full transfers are running.
func (p *plugin) queueTransfer(host id.Host, buckets [endpoint.Buckets]bool, count int, out *kernel.Output) bool {
	state := p.peer(host)
	fullTransfer := count >= fullTransferBuckets && p.shared.Table.Len() > entriesPerBatch
	if fullTransfer && !state.fullTransfer && p.countFullTransfers() >= maxFullTransfers {
		p.refuseTransfer(host, out)
		return false
	}
	state.fullTransfer = fullTransfer
	state.outgoing = p.shared.Table.InBuckets(buckets)
	return true
}

func (p *plugin) countFullTransfers() int {
	count := 0
	for _, state := range p.peers {
		if state.fullTransfer {
			count++
		}
	}
	return count
}

func (p *plugin) refuseTransfer(host id.Host, out *kernel.Output) {
	jitter := p.random.Int64N(int64(busyRetryMax - busyRetryMin))
	wait := busyRetryMin + time.Duration(jitter)
	out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_Busy{
		Busy: &message.Busy{RetryAfterMs: uint32(wait.Milliseconds())},
	}}})
	out.Emit(kernel.Count{Name: "transfer_refused", Label: refusal.Busy.String()})
}

func (p *plugin) busyReceived(at id.Instant, host id.Host, busy *message.Busy) {
	state := p.peer(host)
	state.busy = true
	state.nextRepairAt = at.Add(time.Duration(busy.GetRetryAfterMs()) * time.Millisecond)
}

// retryRepairs retries the repairs that busy peers have deferred.
func (p *plugin) retryRepairs(at id.Instant, out *kernel.Output) {
	for _, host := range slices.Sorted(maps.Keys(p.peers)) {
		state := p.peers[host]
		if state.busy && at >= state.nextRepairAt {
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
			state.fullTransfer = false
			continue
		}
		batch := state.outgoing[:min(entriesPerBatch, len(state.outgoing))]
		state.outgoing = state.outgoing[len(batch):]
		sendEntries(host, batch, out)
	}
}

// sendChanges sends the entries changed since the last tick over all links except the
// ones that they came from.
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
		for part := range slices.Chunk(batch, entriesPerBatch) {
			sendEntries(peer, part, out)
		}
	}
	clear(p.changed)
}

func sendEntries(host id.Host, entries []endpoint.Entry, out *kernel.Output) {
	out.Emit(kernel.Send{Host: host, Frame: message.NewEntriesFrame(entries)})
}

// entriesReceived merges received entries. A dead entry for an unknown host is
// skipped, because the host has already been removed here.
//
// A host that has just started does not forward the entries of a transfer, which are
// new only to itself. Forwarding would send the whole table over each of its links.
func (p *plugin) entriesReceived(from id.Host, entries *message.Entries, out *kernel.Output) {
	initialTransfer := !p.shared.TableSettled && len(entries.GetEntries()) >= entriesPerBatch
	for _, row := range entries.GetEntries() {
		entry, valid := row.Endpoint()
		_, known := p.shared.Table.Get(entry.Host)
		switch {
		case !valid:
			out.Emit(kernel.Count{Name: "message_refused", Label: refusal.BadRequest.String()})
		case entry.Host == p.env.Self.Host:
			p.claimReceived(entry, out)
		case !known && entry.State == endpoint.Dead:
		case initialTransfer:
			p.shared.Table.Merge(entry)
		default:
			p.mergeAndQueue(entry, from)
		}
	}
}
