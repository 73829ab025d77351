// Package idempotency keeps the records that let a non-idempotent request with an
// idempotency key run at most once. It only decides; the caller sends the requests
// to other hosts.
//
// The three hosts with the highest rendezvous hash of a key, among all known hosts of
// the service whether live or not, are the replicas of the key. The daemon that handles
// a request, normally the first live replica, is its owner. A request runs only when a
// majority of the replicas has recorded the key for this owner: usually the owner itself
// and one partner. A host records a key for one owner only, so no two owners can get a
// majority.
//
// A host that started recently may have forgotten a key, so its record does not count.
// It counts when the host has run for the retention, or when the key is newer than its
// process. Keys that are UUIDs of version 7 contain their age; WithOrigin sets a lower
// bound for other keys.
//
// Hosts may temporarily know different sets of hosts. An owner therefore needs a
// majority of the replicas for each set of hosts that was valid, from its point of view,
// while the key could have run: with and without each host added or removed since. An
// owner that has not known the hosts for that long refuses. This is correct as long as a
// new or removed host name becomes known everywhere within the view lag and remains for
// at least as long. Liveness does not affect the choice of replicas, so daemons may
// disagree about it arbitrarily.
//
// What happens to a repeated request, with A, B and C as replicas, A the first
// owner and B its partner:
//
//	case                                     decision
//	repeat at A while the request runs       in_progress
//	repeat at A after a small response       recorded response
//	repeat at A after a large response       ran, without the response
//	repeat at A after an unknown outcome     unknown
//	repeat at A after it did not run         runs, if a partner records it
//	repeat with another request              bad_request, not run
//	through another daemon, owner is A       as at A
//	another daemon selects B as owner        unknown; B names A, which can be asked
//	another daemon selects C as owner        as A or B answers C; never runs
//	A died                                   B: unknown; C: unknown from B
//	A restarted                              A: record_unavailable; B: unknown
//	A and B died                             C: record_unavailable
//	A and B restarted                        record_unavailable for keys older
//	                                         than both processes
//	B unreachable at the first request       C becomes the partner
//	B and C unreachable                      record_unavailable, not run by A
//	two daemons know different host names    runs only with a majority for both
//	                                         sets, otherwise record_unavailable
//	two owners at the same time              at most one runs, the other gets
//	                                         in_progress or unknown
//	key older than the retention             record_unavailable
//	before the origin                        record_unavailable
//	records full                             record_unavailable
//
// A refusal with record_unavailable has the outcome unknown, because an earlier request
// with the key may have run. In a service of two hosts both must record a key; with one
// host there is no partner.
//
// # Usage
//
//	claim, answer := records.Begin(key, fingerprint, now, deadline)
//	if claim == nil {
//		return answer
//	}
//	for _, partner := range claim.Partners {
//		// Send claim.Request to the partner, which calls RecordForOwner.
//		granted := answer.State == idempotency.Granted
//		if granted && records.Granted(claim, partner, now) {
//			run = true
//			break
//		}
//	}
//	// When run is set, send the request. In any case:
//	records.Finish(claim, now, outcome, result)
package idempotency
