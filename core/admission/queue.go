package admission

import (
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// classCount is the number of priority classes.
const classCount = 3

// rankOf returns the place of a class, zero being the most important. An
// unknown class ranks last.
func rankOf(class document.Class) int {
	switch class {
	case document.ClassOrder:
		return 0
	case document.ClassLookup:
		return 1
	case document.ClassInternal:
		return 2
	default:
		return classCount - 1
	}
}

// waiter is one queued call. The gate's lock guards it until done is closed.
type waiter struct {
	rank          int
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

// queue holds one list of waiting calls for each class, in order of arrival.
type queue struct {
	head  [classCount]*waiter
	tail  [classCount]*waiter
	count [classCount]int
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

// removeIf removes the calls that drop accepts. The function drop has ended
// these calls.
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

// first returns the oldest call of the highest class, or nil.
func (q *queue) first() *waiter {
	for _, w := range q.head {
		if w != nil {
			return w
		}
	}
	return nil
}

// earliest returns the head of a class with the earliest queue deadline.
func (q *queue) earliest() *waiter {
	var best *waiter
	for _, w := range q.head {
		if w != nil && (best == nil || w.queueDeadline.Before(best.queueDeadline)) {
			best = w
		}
	}
	return best
}

// lowest returns the newest call of the lowest class below rank, or nil.
func (q *queue) lowest(rank int) *waiter {
	for class := classCount - 1; class > rank; class-- {
		if q.tail[class] != nil {
			return q.tail[class]
		}
	}
	return nil
}

// ahead returns how many calls are served before a new one of the given rank.
func (q *queue) ahead(rank int) int {
	sum := 0
	for _, count := range q.count[:rank+1] {
		sum += count
	}
	return sum
}
