package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/reader"
)

// rounds is the number of times that two operators publish at once.
const rounds = 4

// bad publishes a bad version between two good ones. A version whose parts
// never arrive is not refused, but must not come into force.
func bad(publish func(context.Context, *run) (id.Version, error), isRefused bool) func(context.Context, *run) error {
	return prepared(func(ctx context.Context, r *run) error {
		version, err := publish(ctx, r)
		if err != nil {
			return err
		}
		r.step("bad version %d written", version)
		if err := sleep(ctx, steadyTime); err != nil {
			return err
		}
		if isRefused {
			r.refused(version)
		}
		return r.change(ctx)
	})
}

// next returns the parts of the operator's next version without adopting them.
func (r *run) next(service string) [][]byte {
	o := r.operator
	return append(o.parts[:len(o.parts):len(o.parts)], o.change(service))
}

func dangling(ctx context.Context, r *run) (id.Version, error) {
	parts := r.next("absent")
	if err := r.operator.writeParts(ctx, parts...); err != nil {
		return 0, err
	}
	return r.operator.writeManifest(ctx, manifestOf(manifest.Format, parts))
}

func unknownFormat(ctx context.Context, r *run) (id.Version, error) {
	parts := r.next("counter")
	if err := r.operator.writeParts(ctx, parts...); err != nil {
		return 0, err
	}
	return r.operator.writeManifest(ctx, manifestOf(manifest.Format+1, parts))
}

func partMissing(ctx context.Context, r *run) (id.Version, error) {
	r.counted(reader.CountReadFailed, r.hosts()...)
	return r.operator.writeManifest(ctx, manifestOf(manifest.Format, r.next("counter")))
}

// wrongHash publishes a version whose last part has the bytes of another.
func wrongHash(ctx context.Context, r *run) (id.Version, error) {
	version, _, err := r.writeWrong(ctx)
	r.counted(reader.CountPartMismatch, r.hosts()...)
	return version, err
}

func (r *run) writeWrong(ctx context.Context) (id.Version, [][]byte, error) {
	parts := r.next("counter")
	last := manifest.Part{SHA256: id.DigestOf(parts[len(parts)-1])}
	if _, err := r.operator.put(ctx, last.Key(), route("wrong", "counter", 1)); err != nil {
		return 0, nil, err
	}
	version, err := r.operator.writeManifest(ctx, manifestOf(manifest.Format, parts))
	return version, parts, err
}

// partRepaired writes the right bytes of a part after the wrong ones.
func partRepaired(ctx context.Context, r *run) error {
	version, parts, err := r.writeWrong(ctx)
	if err != nil {
		return err
	}
	return r.complete(ctx, version, parts)
}

// torn writes a manifest before its last part.
func torn(ctx context.Context, r *run) error {
	parts := r.next("counter")
	version, err := r.operator.writeManifest(ctx, manifestOf(manifest.Format, parts))
	if err != nil {
		return err
	}
	return r.complete(ctx, version, parts)
}

// complete writes the parts of a version after its manifest.
func (r *run) complete(ctx context.Context, version id.Version, parts [][]byte) error {
	r.step("version %d written without its last part", version)
	if err := sleep(ctx, steadyTime); err != nil {
		return err
	}
	if err := r.operator.writeParts(ctx, parts...); err != nil {
		return err
	}
	r.operator.parts = parts
	if err := r.allow(version, parts); err != nil {
		return err
	}
	r.due(version, inForceWithin, "last part written")
	if err := r.settle(ctx); err != nil {
		return err
	}
	return r.change(ctx)
}

// twoOperators lets two operators write manifests on top of the same version.
func twoOperators(ctx context.Context, r *run) error {
	second := newOperator(r.operator.address, "b", r.layout)
	for range rounds {
		if err := r.cross(ctx, r.operator, second); err != nil {
			return err
		}
	}
	r.due(r.good[len(r.good)-1].Version, inForceWithin, "acceptance of the last")
	if err := r.settle(ctx); err != nil {
		return err
	}
	return r.change(ctx)
}

// cross publishes for both operators at once. One of the two loses the
// compare-and-set and publishes again on top of the winner.
func (r *run) cross(ctx context.Context, operators ...*operator) error {
	index, err := r.operator.index(ctx)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s?cas=%d", manifest.Key, index)
	won := make([]bool, len(operators))
	errs := make([]error, len(operators))
	var group sync.WaitGroup
	for i, o := range operators {
		o.parts = append(o.parts[:len(o.parts):len(o.parts)], o.change("counter"))
		group.Go(func() {
			data, _ := json.Marshal(manifestOf(manifest.Format, o.parts))
			errs[i] = o.writeParts(ctx, o.parts...)
			if errs[i] == nil {
				won[i], errs[i] = o.put(ctx, key, data)
			}
		})
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return r.afterCross(ctx, operators, won)
}

func (r *run) afterCross(ctx context.Context, operators []*operator, won []bool) error {
	if won[0] == won[1] {
		return errors.New("compare-and-set let both operators win or none; check the platform")
	}
	winner, loser := operators[0], operators[1]
	if won[1] {
		winner, loser = loser, winner
	}
	index, err := winner.index(ctx)
	if err != nil {
		return err
	}
	if err := r.allow(id.Version(index), winner.parts); err != nil {
		return err
	}
	version, err := loser.writeManifest(ctx, manifestOf(manifest.Format, loser.parts))
	if err != nil {
		return err
	}
	return r.allow(version, loser.parts)
}
