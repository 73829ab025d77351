package admission

import (
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// Rank is the priority of a call in the queue. Zero is the highest.
type Rank int

const (
	// priorityCount is the number of priorities that are told apart; routes have about
	// three.
	priorityCount = 4
	// ranksPerPriority are the rank of calls made by running requests and, below it, that
	// of new requests.
	ranksPerPriority = 2
	rankCount        = priorityCount * ranksPerPriority
)

// RankOf returns the rank of a new request whose route has the given priority.
func RankOf(priority int) Rank { return CallRankOf(priority) + 1 }

// CallRankOf returns the rank of a call that a running request makes. It precedes new
// requests of the same priority, because its refusal also wastes the work that the running
// request has done. Requests of a higher priority precede it, so that their routes are not
// served less often than a less urgent one.
func CallRankOf(priority int) Rank {
	return Rank(min(max(0, priority), priorityCount-1) * ranksPerPriority)
}

// classRank returns the rank of a class. An unknown class ranks last.
func classRank(class document.Class) Rank {
	switch class {
	case document.ClassOrder:
		return RankOf(0)
	case document.ClassLookup:
		return RankOf(1)
	case document.ClassInternal:
		return RankOf(2)
	default:
		return rankCount - 1
	}
}

// waiter is one queued call. The gate's lock guards it until done is closed.
type waiter struct {
	rank          Rank
	deadline      id.Instant
	queueDeadline id.Instant
	done          chan struct{}
	ticket        *Ticket
	reason        refusal.Reason
	queued        bool
	previous      *waiter
	next          *waiter
}

func (w *waiter) refuse(reason refusal.Reason) {
	w.reason = reason
	close(w.done)
}

// result is valid once done is closed.
func (w *waiter) result() (*Ticket, *refusal.Error) {
	if w.ticket == nil {
		return nil, refusal.New(w.reason, refusal.NotRun)
	}
	return w.ticket, nil
}

// queue holds one list of waiting calls per rank, in order of arrival.
type queue struct {
	head  [rankCount]*waiter
	tail  [rankCount]*waiter
	count [rankCount]int
	total int
}

func (q *queue) push(w *waiter) {
	w.queued = true
	w.previous = q.tail[w.rank]
	if w.previous == nil {
		q.head[w.rank] = w
	} else {
		w.previous.next = w
	}
	q.tail[w.rank] = w
	q.count[w.rank]++
	q.total++
}

func (q *queue) remove(w *waiter) {
	if w.previous == nil {
		q.head[w.rank] = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		q.tail[w.rank] = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.previous, w.next, w.queued = nil, nil, false
	q.count[w.rank]--
	q.total--
}

// removeIf removes the calls for which drop returns true. The function drop has already
// completed them.
func (q *queue) removeIf(drop func(*waiter) bool) {
	for _, w := range q.head {
		for w != nil {
			next := w.next
			if drop(w) {
				q.remove(w)
			}
			w = next
		}
	}
}

// oldestOfBestRank returns the oldest call of the highest rank, or nil.
func (q *queue) oldestOfBestRank() *waiter {
	for _, w := range q.head {
		if w != nil {
			return w
		}
	}
	return nil
}

// earliestDeadline returns the head of a list with the earliest queue deadline, or nil.
func (q *queue) earliestDeadline() *waiter {
	var best *waiter
	for _, w := range q.head {
		if w != nil && (best == nil || w.queueDeadline.Before(best.queueDeadline)) {
			best = w
		}
	}
	return best
}

// newestBelow returns the newest call of the lowest rank below the given one, or nil.
func (q *queue) newestBelow(rank Rank) *waiter {
	for other := Rank(rankCount - 1); other > rank; other-- {
		if q.tail[other] != nil {
			return q.tail[other]
		}
	}
	return nil
}

// ahead returns the number of queued calls that precede a new one of the given rank.
func (q *queue) ahead(rank Rank) int {
	sum := 0
	for _, count := range q.count[:rank+1] {
		sum += count
	}
	return sum
}
