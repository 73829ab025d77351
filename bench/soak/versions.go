package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// addedLifetime is the number of versions that have a route: version n adds route n
	// and drops route n - addedLifetime.
	addedLifetime = 3
	// unstableStoreSlack is documented: the time by which a store that refuses some
	// hosts or loses its history may delay a version, beyond applyDeadline.
	unstableStoreSlack = 5 * time.Second
	// rollbackSlack is documented: how long after a host has shown a version it may still
	// handle new requests by an older one.
	rollbackSlack = 250 * time.Millisecond
)

// versionID numbers the published versions, from 1.
type versionID int

// publication is a version that the store has accepted.
type publication struct {
	// movedTo is the service of the route that moves.
	movedTo string
	ackedAt time.Time
}

// versionLog records the published versions.
type versionLog struct {
	mu        sync.Mutex
	published []publication
}

// publish lets put write the next version and records when the store has accepted it.
func (l *versionLog) publish(movedTo func(versionID) string, put func(versionID, string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := versionID(len(l.published) + 1)
	service := movedTo(next)
	put(next, service)
	l.published = append(l.published, publication{movedTo: service, ackedAt: time.Now()})
}

// span is a range of versions, both ends included.
type span struct{ oldest, newest versionID }

// inForce returns the versions that may handle a request that was sent at the given
// time and ends now, if each takes effect within bound.
func (l *versionLog) inForce(began time.Time, bound time.Duration) span {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := versionID(len(l.published))
	oldest := newest
	for oldest > 1 && began.Sub(l.published[oldest-1].ackedAt) <= bound {
		oldest--
	}
	return span{oldest, newest}
}

// delay returns how long after its successor had been accepted the version handled a
// request that was sent at the given time, or zero if it was still the newest.
func (l *versionLog) delay(handledBy versionID, began time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handledBy <= 0 || int(handledBy) >= len(l.published) {
		return 0
	}
	return max(0, began.Sub(l.published[handledBy].ackedAt))
}

// services returns the services to which the moving route leads in the versions.
func (l *versionLog) services(versions span) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	services := map[string]bool{}
	for v := versions.oldest; v <= versions.newest; v++ {
		services[l.published[v-1].movedTo] = true
	}
	return services
}

// addedRoute is a route of one client's probe; zero is none. It has the number of the
// version that adds it.
type addedRoute versionID

func (r addedRoute) prefix() string { return fmt.Sprintf("/added-%d/", int(r)) }

func (r addedRoute) in(v versionID) bool {
	return versionID(r) <= v && v < versionID(r)+addedLifetime
}

// randomProbe returns a route that a version around the newest one adds or drops.
func (l *versionLog) randomProbe(random *rand.Rand) addedRoute {
	l.mu.Lock()
	defer l.mu.Unlock()
	return addedRoute(max(1, len(l.published)-random.IntN(addedLifetime+2)))
}

// outcome of a probe, as far as it tells the version that handled it.
type outcome int

const (
	unclear outcome = iota
	servedByRoute
	routeUnknown
)

func (c *call) outcome(executed int) outcome {
	switch {
	case executed > 0:
		return servedByRoute
	case c.err == nil && c.status == http.StatusNotFound:
		return routeUnknown
	default:
		return unclear
	}
}

// newestAllowing returns the newest of the versions up to newest that handle a probe of
// the route in this way, or zero if none does.
func (r addedRoute) newestAllowing(of outcome, newest versionID) versionID {
	for v := newest; v > 0; v-- {
		if of == servedByRoute && r.in(v) || of == routeUnknown && !r.in(v) {
			return v
		}
	}
	return 0
}

// sighting is the newest version of which a host has shown an effect at some time.
type sighting struct {
	version versionID
	at      time.Time
}

// hostVersions records the versions that one host has shown since its daemon started.
type hostVersions struct {
	mu    sync.Mutex
	boot  int
	shown []sighting
}

// restart forgets what the host has shown.
func (h *hostVersions) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boot++
	h.shown = nil
}

func (h *hostVersions) currentBoot() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

// record records that a backend server ran a probe of the route for the host, unless
// the daemon has been restarted since.
func (h *hostVersions) record(route addedRoute, at time.Time, boot int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.shown) - 1
	if boot != h.boot || last >= 0 && h.shown[last].version >= versionID(route) {
		return
	}
	h.shown = append(h.shown, sighting{versionID(route), at})
}

// shownBefore returns the newest version that the host had shown rollbackSlack before
// the given time, or zero if its daemon has been restarted since then.
func (h *hostVersions) shownBefore(began time.Time, boot int) versionID {
	h.mu.Lock()
	defer h.mu.Unlock()
	if boot != h.boot {
		return 0
	}
	for i := len(h.shown) - 1; i >= 0; i-- {
		if began.Sub(h.shown[i].at) > rollbackSlack {
			return h.shown[i].version
		}
	}
	return 0
}

// brokenVersions returns the guarantees on versions that a probe has violated.
func (c *call) brokenVersions(of outcome) []string {
	if c.probe == 0 || of == unclear {
		return nil
	}
	var broken []string
	handledBy := c.probe.newestAllowing(of, c.versions.newest)
	if c.inTouch && handledBy < c.versions.oldest {
		broken = append(broken, fmt.Sprintf("handled by version %d or older, %d is in force", handledBy, c.versions.oldest))
	}
	if handledBy < c.shown {
		broken = append(broken, fmt.Sprintf("handled by version %d or older, its host has shown %d", handledBy, c.shown))
	}
	return broken
}

// publish publishes the next version: it adds a route, drops another and leads the
// moving route to the other of the two services.
func (w *world) publish() {
	movedTo := func(v versionID) string {
		if v%2 == 0 {
			return stock
		}
		return shop
	}
	w.versions.publish(movedTo, func(v versionID, moved string) {
		routes := []map[string]any{
			platformtest.Route("lookup", "/lookup/", "safe", shop, 2*time.Second, 2),
			platformtest.Route("order", "/order/", "unsafe", shop, 2*time.Second, 1),
			platformtest.Route("moved", "/moved/", "safe", moved, 2*time.Second, 2),
			platformtest.Route("long", longPrefix, "unsafe", shop, longTimeout, 1),
			platformtest.Route("browse", browsePrefix, "safe", shop, longTimeout, 2),
			platformtest.Route("called", calledPrefix, "unsafe", shop, longTimeout, 1),
		}
		for r := addedRoute(max(1, v-addedLifetime+1)); versionID(r) <= v; r++ {
			routes = append(routes, platformtest.Route(fmt.Sprint("added-", int(r)), r.prefix(), "safe", shop, 2*time.Second, 2))
		}
		for i := range w.idleRoutes {
			routes = append(routes, platformtest.Route(fmt.Sprint("idle-", i), fmt.Sprintf("/idle-%d/", i*7919), "safe", stock, 2*time.Second, 2))
		}
		w.store.Put(platformtest.ConfigurationKey, platformtest.Configuration(fmt.Sprint("r", v), []string{shop, stock}, routes...))
	})
}
