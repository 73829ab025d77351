package callroom

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// demandMemory is the time constant with which requests are forgotten. With ten
	// requests a second, the measured rate varies by a sixth.
	demandMemory = 2 * time.Second
	// minDemandAge bounds the rate that the first requests seem to have.
	minDemandAge = 500 * time.Millisecond
)

// demand measures the rate of requests, admitted or not, since an instant.
type demand struct {
	since, at id.Instant
	// count is the number of requests, which decays exponentially.
	count float64
}

// add counts a request.
func (d *demand) add(at id.Instant) {
	d.decay(at)
	d.count++
}

func (d *demand) decay(at id.Instant) {
	if elapsed := at.Sub(d.at); elapsed > 0 {
		d.count, d.at = d.count*math.Exp(-elapsed.Seconds()/demandMemory.Seconds()), at
	}
}

// rate returns the requests per second, more than zero.
func (d *demand) rate(at id.Instant) float64 {
	d.decay(at)
	memory := demandMemory.Seconds()
	// A young measurement has not yet counted the requests of a whole memory.
	counted := memory * (1 - math.Exp(-max(minDemandAge, at.Sub(d.since)).Seconds()/memory))
	return max(d.count, 1) / counted
}
