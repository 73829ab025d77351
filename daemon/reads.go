package daemon

import (
	"context"
	"errors"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/io/platform"
)

// platformReads holds the context of the platform reads in progress, so that the
// kernel can cancel all of them.
type platformReads struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
}

func (r *platformReads) start(parent context.Context) {
	r.parent = parent
	r.ctx, r.cancel = context.WithCancel(parent)
}

func (r *platformReads) stop() { r.cancel() }

// restart cancels the reads in progress and allows new ones.
func (r *platformReads) restart() {
	r.cancel()
	r.start(r.parent)
}

// startRead performs a read in the background; its result returns as an event.
// Without a platform it does nothing.
func (d *Daemon) startRead(action kernel.Action) {
	if d.platform == nil {
		return
	}
	ctx := d.platformReads.ctx
	switch a := action.(type) {
	case kernel.ReadManifest:
		go d.readManifest(ctx, a)
	case kernel.ReadPart:
		go d.readPart(ctx, a)
	case kernel.ReadHosts:
		go d.readHosts(ctx, a)
	case kernel.StopReading:
		d.platformReads.restart()
	}
}

func (d *Daemon) readManifest(ctx context.Context, a kernel.ReadManifest) {
	value, err := d.platform.Read(ctx, manifest.Key, platform.After(a.After), platform.Consistent(a.Consistent))
	if err != nil && !isNotYetWritten(value, err) {
		d.readFailed(ctx, kernel.ReadKindManifest, err)
		return
	}
	d.emit(kernel.ManifestRead{Index: value.Index, Data: value.Data, Consistent: a.Consistent})
}

func (d *Daemon) readPart(ctx context.Context, a kernel.ReadPart) {
	value, err := d.platform.Read(ctx, a.Part.Key())
	if err != nil {
		d.readFailed(ctx, kernel.ReadKindPart, err)
		return
	}
	d.emit(kernel.PartRead{Digest: a.Part.SHA256, Data: value.Data})
}

func (d *Daemon) readHosts(ctx context.Context, a kernel.ReadHosts) {
	value, err := d.platform.Read(ctx, manifest.HostPrefix+string(a.Domain), platform.After(a.After))
	if err != nil && !isNotYetWritten(value, err) {
		d.readFailed(ctx, kernel.ReadKindHosts, err)
		return
	}
	if value.Data == nil {
		value.Data = emptyHostList
	}
	d.emit(kernel.HostListRead{Domain: a.Domain, Index: value.Index, Data: value.Data})
}

// emptyHostList is the encoded host list of a key that does not exist.
var emptyHostList = []byte("[]")

// isNotYetWritten reports whether the platform answered that the key does not
// exist. The next read can then wait for its creation instead of polling.
func isNotYetWritten(value platform.Value, err error) bool {
	return errors.Is(err, platform.ErrKeyNotFound) && value.Index > 0
}

// readFailed emits a failure, unless the read was cancelled.
func (d *Daemon) readFailed(ctx context.Context, read kernel.Read, err error) {
	if ctx.Err() == nil {
		d.emit(kernel.ReadFailed{Read: read, Cause: err.Error()})
	}
}
