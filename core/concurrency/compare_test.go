package concurrency

import (
	"math"
	"testing"
	"time"
)

// The parts of loads.
func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// waves alternates every 5 s between a demand below the capacity and one above it.
func waves(at time.Duration) float64 {
	if at/(5*s)%2 == 0 {
		return 0.55
	}
	return 1.15
}

func flat(int) float64 { return 1 }

// beyond returns a slowdown beyond the given concurrency. With an exponent of 1 the
// throughput stays the same beyond it, with 2 it falls.
func beyond(knee, exponent float64) func(int) float64 {
	return func(running int) float64 { return math.Pow(max(1, float64(running)/knee), exponent) }
}

func undisturbed(int, time.Duration) float64 { return 1 }

func noCalls(time.Duration) time.Duration { return 0 }

// episodes slows each server by the factor for the given share of the periods.
func episodes(factor float64, length time.Duration, share float64) func(int, time.Duration) float64 {
	return func(server int, at time.Duration) float64 {
		hash := uint64(at/length)*0x9e3779b97f4a7c15 + uint64(server+1)*0xbf58476d1ce4e5b9
		hash ^= hash >> 31
		hash *= 0x94d049bb133111eb
		hash ^= hash >> 29
		if float64(hash%1000) < 1000*share {
			return factor
		}
		return 1
	}
}

func single(mean time.Duration) []kind { return []kind{{mean: mean}} }

var (
	equal  = []float64{1, 1, 1, 1}
	uneven = []float64{0.5, 0.8, 1.2, 1.7}
)

// loads are those that docs/hard-load.md names for the comparison of rules, and those
// under which a limit must not fall.
func loads() []load {
	base := load{slots: 12, speeds: equal, kinds: single(100 * ms), spread: 0.5, duration: 90 * s, demand: waves, slowdown: flat, disturbance: undisturbed, calls: noCalls, want: 0.95}
	with := func(name string, change func(*load)) load {
		changed := base
		changed.name = name
		change(&changed)
		return changed
	}
	return []load{
		with("equal servers", func(*load) {}),
		with("equal servers, wide spread, 6 slots", func(l *load) { l.slots, l.spread = 6, 0.8 }),
		with("uneven servers", func(l *load) { l.speeds = uneven }),
		with("constant overload", func(l *load) { l.demand = constant(1.3) }),
		with("noise of 2.5 for 600 ms", func(l *load) { l.disturbance = episodes(2.5, 600*ms, 0.15) }),
		with("all work x 4 for 3 s", func(l *load) {
			l.disturbance = func(_ int, at time.Duration) float64 {
				if at%(15*s) > 12*s {
					return 4
				}
				return 1
			}
		}),
		with("cold start", func(l *load) {
			l.disturbance = func(_ int, at time.Duration) float64 { return max(1, 4-3*at.Seconds()/10) }
		}),
		with("burst", func(l *load) {
			l.demand = func(at time.Duration) float64 {
				if at%(8*s) < 2*s {
					return 2
				}
				return 0.3
			}
		}),
		with("work of 64 and 220 ms", func(l *load) {
			share := func(at time.Duration) float64 { return 0.5 + 0.4*math.Sin(at.Seconds()/3) }
			l.kinds = []kind{{mean: 64 * ms}, {mean: 220 * ms, share: share}}
		}),
		with("waiting for calls", func(l *load) {
			l.calls = func(at time.Duration) time.Duration {
				return time.Duration(waves(at) * waves(at) * float64(150*ms))
			}
		}),
		with("slow work of 850 ms", func(l *load) { l.kinds = single(850 * ms) }),
		with("slows beyond half of 12 slots", func(l *load) { l.slowdown, l.duration, l.followed = beyond(6, 2), longer, true }),
		with("slows beyond half of 6 slots", func(l *load) {
			l.slots, l.slowdown, l.duration, l.followed = 6, beyond(3, 2), longer, true
		}),
		with("slows beyond half of 18 slots", func(l *load) {
			l.slots, l.slowdown, l.duration, l.followed = 18, beyond(9, 2), longer, true
		}),
		with("slows in proportion beyond half", func(l *load) { l.slowdown, l.followed = beyond(6, 1), true }),
		with("slows beyond half, steady demand of 0.9", func(l *load) {
			l.demand, l.slowdown, l.duration, l.followed = constant(0.9), beyond(6, 2), longer, true
		}),
		// A slow server of this load is passed over before its trial ends.
		with("slows beyond half, uneven, noise", func(l *load) {
			l.speeds, l.slowdown, l.duration, l.followed, l.want = uneven, beyond(6, 2), longer, true, 0.85
			l.disturbance = episodes(2.5, 600*ms, 0.15)
		}),
	}
}

// longer is the duration of the loads in which the limit is learned first, which takes
// 5 to 20 s.
const longer = 400 * s

// seeds are few because each load is long.
var seeds = []uint64{1, 2}

// sum plays the load with each seed.
func (l *load) sum(newRule func() rule) played {
	total := played{lowest: l.slots}
	for _, seed := range seeds {
		result := l.play(newRule, seed)
		total.arrived += result.arrived
		total.served += result.served
		total.lowest = min(total.lowest, result.lowest)
	}
	return total
}

// bestFixed returns the fixed limit that serves most in the first minute, or all slots
// if they serve more in the whole load, and what it serves.
func (l *load) bestFixed(all int) (limit, served int) {
	short, most := *l, 0
	short.duration = min(60*s, l.duration)
	for slots := 1; slots <= l.slots; slots++ {
		if result := short.play(func() rule { return fixed(slots) }, seeds[0]); result.served >= most {
			limit, most = slots, result.served
		}
	}
	if served = l.sum(func() rule { return fixed(limit) }).served; served > all {
		return limit, served
	}
	return l.slots, all
}

// Guards against a limit that serves clearly less than the best fixed limit under any of
// the loads, and against one that falls although service times do not grow with the
// number of running requests. Run with -v for the figures of all rules.
func TestRules(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			all := l.sum(func() rule { return fixed(l.slots) })
			limit, best := l.bestFixed(all.served)
			share := func(result played) float64 { return float64(result.served) / float64(best) }
			t.Logf("best fixed limit %d of %d: %.3f of %d; all slots %.3f of it", limit, l.slots, float64(best)/float64(all.arrived), all.arrived, share(all))
			for name, newRule := range newRules(l.slots) {
				result := l.sum(newRule)
				t.Logf("%s: %.3f, lowest limit %d", name, share(result), result.lowest)
				if name != "trials" {
					continue
				}
				if share(result) < l.want {
					t.Errorf("served %.3f of the best fixed limit, want %.2f", share(result), l.want)
				}
				if !l.followed && result.lowest < l.slots {
					t.Errorf("limit fell to %d of %d", result.lowest, l.slots)
				}
			}
		})
	}
}
