package daemon

import (
	"context"
	"errors"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/io/platform"
)

// reads holds the context of the platform reads that run now.
type reads struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
}

func (r *reads) start(parent context.Context) {
	r.parent = parent
	r.ctx, r.cancel = context.WithCancel(parent)
}

func (r *reads) stop() { r.cancel() }

// restart ends the reads that run now.
func (r *reads) restart() {
	r.cancel()
	r.start(r.parent)
}

func (d *Daemon) performRead(action kernel.Action) {
	if d.platform == nil {
		return
	}
	ctx := d.reads.ctx
	switch a := action.(type) {
	case kernel.ReadManifest:
		go d.readManifest(ctx, a)
	case kernel.ReadPart:
		go d.readPart(ctx, a)
	case kernel.ReadHosts:
		go d.readHosts(ctx, a)
	case kernel.StopReading:
		d.reads.restart()
	}
}

func (d *Daemon) readManifest(ctx context.Context, a kernel.ReadManifest) {
	value, err := d.platform.Read(ctx, manifest.Key, platform.After(a.After), platform.Consistent(a.Consistent))
	if err != nil && !waitable(value, err) {
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
	if err != nil && !waitable(value, err) {
		d.readFailed(ctx, kernel.ReadKindHosts, err)
		return
	}
	if value.Data == nil {
		value.Data = noHosts
	}
	d.emit(kernel.HostListRead{Domain: a.Domain, Index: value.Index, Data: value.Data})
}

// noHosts is a host list without rows.
var noHosts = []byte("[]")

// waitable reports whether the key is only not written yet, so that the next
// read can wait for it in place of asking again and again.
func waitable(value platform.Value, err error) bool {
	return errors.Is(err, platform.ErrKeyNotFound) && value.Index > 0
}

// readFailed reports a failure unless the read was ended on purpose.
func (d *Daemon) readFailed(ctx context.Context, read kernel.Read, err error) {
	if ctx.Err() == nil {
		d.emit(kernel.ReadFailed{Read: read, Cause: err.Error()})
	}
}
