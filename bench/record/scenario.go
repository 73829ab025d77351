package record

import (
	"context"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/reader"
	"marjoramsaddle/core/spread"
	"marjoramsaddle/core/trace"
	"marjoramsaddle/standin/platform"
)

// steadyTime lets links and endpoint tables settle between two steps.
const steadyTime = 2 * time.Second

// scenarios are the scripted faults by name. Each starts after prepare.
var scenarios = map[string]func(context.Context, *run) error{
	"kill_one_stale":       killStale(func(r *run) []id.Host { return r.hosts()[1:2] }),
	"kill_domain_stale":    killStale(func(r *run) []id.Host { return r.hosts(r.layout.Domains[1]) }),
	"kill_readers":         prepared(killReaders),
	"kill_readers_of_nine": prepared(killReaders),
	"kill_fleet":           prepared(killFleet),
	"partition":            partition(waitCut),
	"partition_kill":       partition(killCut),
	"pause":                prepared(pause),
	"platform_down":        outage(platform.Faults{Outage: platform.OutageRefuse}),
	"platform_limit":       outage(platform.Faults{OverLimit: true}),
	"platform_slow":        prepared(platformSlow),
	"two_operators":        prepared(twoOperators),
	"bad_dangling":         bad(dangling, true),
	"bad_format":           bad(unknownFormat, true),
	"bad_hash":             bad(wrongHash, false),
	"bad_missing":          bad(partMissing, false),
	"part_repaired":        prepared(partRepaired),
	"torn":                 prepared(torn),
	"two_faults":           staleAndBad,
}

// sizes are the numbers of daemons where they differ. With nine, each failure
// domain has a daemon that is no reader.
var sizes = map[string]int{"kill_readers_of_nine": 9}

// prepare brings a first and a second version into force on the whole fleet and
// returns a time at which the platform had the first.
func (r *run) prepare(ctx context.Context) (time.Time, error) {
	if _, err := r.publish(ctx, r.operator); err != nil {
		return time.Time{}, err
	}
	if err := r.start(r.hosts()...); err != nil {
		return time.Time{}, err
	}
	r.due(r.good[0].Version, inForceWithin, "start of the fleet")
	if err := r.settle(ctx); err != nil {
		return time.Time{}, err
	}
	if err := sleep(ctx, steadyTime); err != nil {
		return time.Time{}, err
	}
	first := time.Now()
	return first, r.change(ctx)
}

// change brings the next good version into force on all running daemons.
func (r *run) change(ctx context.Context) error {
	version, err := r.publish(ctx, r.operator)
	if err != nil {
		return err
	}
	r.due(version, inForceWithin, "acceptance")
	if err := r.settle(ctx); err != nil {
		return err
	}
	return sleep(ctx, steadyTime/2)
}

func prepared(play func(context.Context, *run) error) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		if _, err := r.prepare(ctx); err != nil {
			return err
		}
		return play(ctx, r)
	}
}

// freeze makes the platform answer all reads from its state at an earlier time.
func (r *run) freeze(ctx context.Context, at time.Time) error {
	return r.faults(ctx, platform.Faults{
		Frozen: true, StaleConsistent: true, StalenessMs: int(time.Since(at).Milliseconds()),
	})
}

// replace kills daemons and starts them again.
func (r *run) replace(ctx context.Context, within time.Duration, hosts ...id.Host) error {
	r.kill(hosts...)
	if err := sleep(ctx, steadyTime/2); err != nil {
		return err
	}
	if err := r.start(hosts...); err != nil {
		return err
	}
	r.due(r.floor, within, "restart", hosts...)
	return r.settle(ctx)
}

// recover ends the platform's faults and changes the configuration once more.
func (r *run) recover(ctx context.Context) error {
	if err := r.faults(ctx, platform.Faults{}); err != nil {
		return err
	}
	return r.change(ctx)
}

func killStale(victims func(*run) []id.Host) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		first, err := r.prepare(ctx)
		if err != nil {
			return err
		}
		if err := r.freeze(ctx, first); err != nil {
			return err
		}
		if err := sleep(ctx, steadyTime); err != nil {
			return err
		}
		r.counted(reader.CountStaleIndex, r.hosts()...)
		if err := r.replace(ctx, inForceWithin, victims(r)...); err != nil {
			return err
		}
		if err := sleep(ctx, steadyTime); err != nil {
			return err
		}
		return r.recover(ctx)
	}
}

// staleAndBad kills one daemon while the platform is stale and the newest
// version is a bad one.
func staleAndBad(ctx context.Context, r *run) error {
	first, err := r.prepare(ctx)
	if err != nil {
		return err
	}
	version, err := dangling(ctx, r)
	if err != nil {
		return err
	}
	if err := sleep(ctx, steadyTime); err != nil {
		return err
	}
	r.refused(version)
	if err := r.freeze(ctx, first); err != nil {
		return err
	}
	if err := sleep(ctx, steadyTime); err != nil {
		return err
	}
	r.counted(reader.CountStaleIndex, r.hosts()...)
	if err := r.replace(ctx, inForceWithin, r.hosts()[0]); err != nil {
		return err
	}
	return r.recover(ctx)
}

func killReaders(ctx context.Context, r *run) error {
	hosts := r.readers(r.layout.Domains[0])
	r.kill(hosts...)
	if err := r.change(ctx); err != nil {
		return err
	}
	if err := r.start(hosts...); err != nil {
		return err
	}
	r.due(r.floor, replacedWithin, "restart", hosts...)
	if err := r.settle(ctx); err != nil {
		return err
	}
	return r.change(ctx)
}

func killFleet(ctx context.Context, r *run) error {
	if err := r.replace(ctx, inForceWithin, r.hosts()...); err != nil {
		return err
	}
	return r.change(ctx)
}

// pause stops a daemon across a change.
func pause(ctx context.Context, r *run) error {
	host := r.hosts()[1]
	paused := r.running[host]
	if err := paused.process.Pause(); err != nil {
		return err
	}
	r.step("SIGSTOP %s", host)
	delete(r.running, host)
	if err := r.change(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, steadyTime); err != nil {
		return err
	}
	resumed := id.InstantOf(time.Now())
	if err := paused.process.Resume(); err != nil {
		return err
	}
	r.step("SIGCONT %s", host)
	r.running[host] = paused
	r.due(r.floor, inForceWithin, "SIGCONT", host)
	r.counted(spread.CountResync, host)
	paused.stated.Minimum = append(paused.stated.Minimum, trace.Minimum{Version: r.floor, From: resumed, Event: "SIGCONT"})
	if err := r.settle(ctx); err != nil {
		return err
	}
	return r.change(ctx)
}

// outage makes the platform fail for a while, in which a daemon is replaced.
func outage(faults platform.Faults) func(context.Context, *run) error {
	return prepared(func(ctx context.Context, r *run) error {
		if err := r.faults(ctx, faults); err != nil {
			return err
		}
		if err := sleep(ctx, steadyTime); err != nil {
			return err
		}
		if err := r.replace(ctx, replacedWithin, r.hosts()[2]); err != nil {
			return err
		}
		if err := sleep(ctx, steadyTime); err != nil {
			return err
		}
		return r.recover(ctx)
	})
}

func platformSlow(ctx context.Context, r *run) error {
	if err := r.faults(ctx, platform.Faults{LatencyMs: 800, JitterMs: 1000}); err != nil {
		return err
	}
	if err := r.change(ctx); err != nil {
		return err
	}
	return r.recover(ctx)
}
