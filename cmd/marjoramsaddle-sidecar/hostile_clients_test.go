package main

import "testing"

const (
	kib = 1 << 10
	mib = 1 << 20
	// unreadBytes is the size of responses that are not read. Responses may have 4 MiB.
	unreadBytes = 3584 * kib
)

// hostileCase is a set of clients that fill the memory or use up the file descriptors of
// a daemon within the limits of a configuration.
type hostileCase struct {
	name     string
	clients  []hostileClients
	settings processLimits
	// during is the route of the ordinary request during the load. It leads to a backend
	// server that has no whole requests of the clients to run.
	during string
	// end is called when the clients have left. It may be nil.
	end func()
}

// processLimits are the limits that the settings of a daemon state.
type processLimits struct{ memoryMB, descriptors int }

var (
	// smallMemory is half of what the smallest hosts have, so that a few hundred clients
	// are enough. A daemon with ordinary clients uses a quarter of it.
	smallMemory = processLimits{memoryMB: 96, descriptors: 1000}
	// fewDescriptors leaves 120 file descriptors besides those reserved for files. A
	// daemon without requests uses 20.
	fewDescriptors = processLimits{memoryMB: 96, descriptors: 320}
	// fewDescriptorsOnly has memory for more than all clients of a case send.
	fewDescriptorsOnly = processLimits{memoryMB: 512, descriptors: 320}
	// smallestHost has the limits of the smallest hosts.
	smallestHost = processLimits{memoryMB: 184, descriptors: 4100}
)

// hostileCases returns the cases. Code without a bound of the held bytes exceeds the
// memory or the file descriptors in each of them but long_headers and ordinary_clients;
// see docs/measurements/hostile-clients.md.
func hostileCases() []hostileCase {
	return []hostileCase{
		{
			name: "stalled_bodies", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{300, stalledBody(localRoute, 512*kib)}},
		},
		{
			name: "stalled_chunks", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{300, stalledChunks(localRoute, 512*kib)}},
		},
		{
			name: "pipelined_posts", settings: smallMemory, during: remoteRoute,
			clients: []hostileClients{{60, pipelinedPosts(localRoute, 250*kib)}},
		},
		{
			name: "slow_bodies", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{300, slowBody(localRoute, 512*kib)}},
		},
		{
			name: "unread_responses", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{40, unreadResponses(localRoute, unreadBytes)}},
		},
		{
			name: "long_headers", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{300, endlessHeader(1000)}},
		},
		{
			name: "many_header_fields", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{400, endlessHeader(0)}},
		},
		{
			name: "bodies_for_another_host", settings: smallMemory, during: remoteRoute,
			clients: []hostileClients{{300, stalledBody(remoteRoute, mib)}},
		},
		{
			name: "pipelined_posts_for_another_host", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{70, pipelinedPosts(remoteRoute, 250*kib)}},
		},
		{
			name: "connections", settings: fewDescriptors, during: localRoute,
			clients: []hostileClients{{300, silentConnection}},
		},
		{
			name: "connections_with_stalled_requests", settings: fewDescriptors, during: localRoute,
			clients: []hostileClients{{300, stalledBody(localRoute, kib)}},
		},
		{
			name: "connections_with_slow_bodies", settings: fewDescriptorsOnly, during: remoteRoute,
			clients: []hostileClients{{300, slowBody(localRoute, 512*kib)}},
		},
		{
			name: "stalled_bodies_and_unread_responses", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{300, stalledBody(localRoute, 512*kib)}, {20, unreadResponses(localRoute, unreadBytes)}},
		},
		{
			name: "slow_bodies_and_pipelined_posts", settings: smallMemory, during: remoteRoute,
			clients: []hostileClients{{150, slowBody(localRoute, 512*kib)}, {30, pipelinedPosts(localRoute, 250*kib)}},
		},
		// Guards against bounds that ordinary requests reach.
		{
			name: "ordinary_clients", settings: smallMemory, during: localRoute,
			clients: []hostileClients{{16, ordinaryPosts(localRoute, 8*kib)}, {16, ordinaryPosts(remoteRoute, 8*kib)}},
		},
	}
}

// Guards against clients that make a daemon hold more bytes or connections than its
// process may have, for which the platform kills it: each request is within the limits of
// the configuration, all together are not. The daemons of both hosts must stay alive and
// within the limits of their settings, a tenth of the memory and the descriptors reserved
// for files left over, and ordinary requests must be answered during and after the load.
// How many requests are answered, and when, is not checked.
func TestHostileClients(t *testing.T) {
	program := buildDaemon(t)
	for i, c := range hostileCases() {
		t.Run(c.name, func(t *testing.T) {
			f := startHostileFleet(t, program, firstHostileNetwork+i, c.settings, routeTimeout)
			f.play(c)
			f.checkLimits(c)
		})
	}
}

// Guards against bounds of memory under which the largest body that the configuration
// allows is no longer served, and against one that is held in memory as a whole.
func TestLargestBody(t *testing.T) {
	program := buildDaemon(t)
	for i, route := range []string{localRoute, remoteRoute} {
		t.Run(route, func(t *testing.T) {
			f := startHostileFleet(t, program, firstLargestBodyNetwork+i, smallestHost, longTimeout)
			f.postLargestBody(route)
			f.checkLimits(hostileCase{settings: smallestHost})
		})
	}
}

// memoryBound is the peak of resident memory that the settings allow, a tenth left over.
func (l processLimits) memoryBound() int64 { return int64(l.memoryMB) * mib * 9 / 10 }

// descriptorBound is the number of file descriptors that the settings allow, without
// those that are reserved for files.
func (l processLimits) descriptorBound() int { return l.descriptors - 200 }
