package admission

import (
	"time"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/refusal"
)

// Rank is the priority of a call in the queue. Zero is the highest.
type Rank int

const (
	// rankHealthCheck is the rank of health checks. They end a doubt that limits all
	// other calls.
	rankHealthCheck Rank = -1
	// priorityCount is the number of priorities that are told apart; routes have about
	// three.
	priorityCount = 4
	// ranksPerPriority are the rank of calls made by running requests and, below it, that
	// of new requests.
	ranksPerPriority = 2
	rankCount        = priorityCount * ranksPerPriority
	// listCount is the number of lists in the queue, one per rank.
	listCount = rankCount + 1
)

// list returns the index of the rank's list in the queue.
func (r Rank) list() int { return int(r - rankHealthCheck) }

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
	Work
	done       chan struct{}
	ticket     *Ticket
	reason     refusal.Reason
	retryAfter time.Duration
	queued     bool
	previous   *waiter
	next       *waiter
}

func (w *waiter) refuse(reason refusal.Reason) {
	w.reason = reason
	close(w.done)
}

// result is valid once done is closed.
func (w *waiter) result() (*Ticket, *refusal.Error) {
	if w.ticket == nil {
		return nil, &refusal.Error{Reason: w.reason, Outcome: refusal.NotRun, RetryAfter: w.retryAfter}
	}
	return w.ticket, nil
}

// queue holds one list of waiting calls per rank, in order of arrival.
type queue struct {
	head  [listCount]*waiter
	tail  [listCount]*waiter
	count [listCount]int
	total int
}

func (q *queue) push(w *waiter) {
	w.queued = true
	w.previous = q.tail[w.Rank.list()]
	if w.previous == nil {
		q.head[w.Rank.list()] = w
	} else {
		w.previous.next = w
	}
	q.tail[w.Rank.list()] = w
	q.count[w.Rank.list()]++
	q.total++
}

func (q *queue) remove(w *waiter) {
	if w.previous == nil {
		q.head[w.Rank.list()] = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		q.tail[w.Rank.list()] = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.previous, w.next, w.queued = nil, nil, false
	q.count[w.Rank.list()]--
	q.total--
}

// removeIf removes the calls for which drop returns true. The function drop has already
// completed them. It is called in the order of the queue.
func (q *queue) removeIf(drop func(*waiter) bool) {
	for list := range q.head {
		for w := q.head[list]; w != nil; {
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
		if w != nil && (best == nil || w.QueueDeadline.Before(best.QueueDeadline)) {
			best = w
		}
	}
	return best
}

// newestBelow returns the newest call of the lowest rank below the given one, or nil.
func (q *queue) newestBelow(rank Rank) *waiter {
	for other := Rank(rankCount - 1); other > rank; other-- {
		if last := q.tail[other.list()]; last != nil {
			return last
		}
	}
	return nil
}

// ahead returns the number of queued calls that precede a new one of the given rank.
func (q *queue) ahead(rank Rank) int {
	sum := 0
	for _, count := range q.count[:rank.list()+1] {
		sum += count
	}
	return sum
}
