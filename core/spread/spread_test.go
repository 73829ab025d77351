package spread_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/reader"
)

// TestScenarios runs the scripts in testdata. Scripts that guard a guarantee run a
// second time with the mechanism off, where their output lists the violations.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			s := &script{network: newNetwork(1)}
			if text := ""; data.MaybeScanArgs(t, "strategy", &text) {
				s.options.Strategy, _ = kernel.ParseStrategy(text)
			}
			s.options.NoFloor = data.HasArg("no_floor")
			s.options.NoWitness = data.HasArg("no_witness")
			s.options.AcceptOlder = data.HasArg("accept_older")
			for _, line := range strings.Split(data.Input, "\n") {
				if words := strings.Fields(line); len(words) > 0 {
					s.do(t, words[0], words[1:])
				}
			}
			for _, fault := range s.violations {
				fmt.Fprintln(&s.out, "fault:", fault)
			}
			return s.out.String()
		})
	})
}

// script executes the lines of one scenario.
type script struct {
	*network
	options kernel.Options
	out     strings.Builder
}

func (s *script) do(t *testing.T, verb string, args []string) {
	hosts, version := make([]id.Host, len(args)), id.Version(0)
	for index, arg := range args {
		hosts[index] = id.Host(arg)
		number, _ := strconv.Atoi(arg)
		version = id.Version(number)
	}
	switch verb {
	case "mesh":
		s.startFullMesh(s.options, hosts...)
	case "start", "start_without_platform":
		s.start(hosts[0], s.options, verb == "start")
	case "stop":
		s.stop(hosts[0])
	case "link":
		s.link(hosts[0], hosts[1])
	case "unlink":
		s.unlink(hosts[0], hosts[1])
	case "pause":
		s.nodes[hosts[0]].paused = true
	case "resume":
		s.resume(hosts[0])
	case "run":
		span, _ := time.ParseDuration(args[0])
		s.run(span)
	case "drop":
		s.dropFrames(args)
	case "crowd": // Sixty hosts start at once and are linked to one host.
		for index := range 60 {
			host := id.Host("c" + string(rune('A'+index)))
			s.start(host, s.options, false)
			s.link(host, hosts[0])
		}
	case "count":
		fmt.Fprintf(&s.out, "%s: %d\n", args[0], s.total(args[0]))
	case "converged":
		fmt.Fprintf(&s.out, "converged: %t\n", s.converged(version))
	case "show":
		s.show(args)
	default:
		s.platform(t, verb, hosts, version)
	}
}

func (s *script) platform(t *testing.T, verb string, hosts []id.Host, version id.Version) {
	switch verb {
	case "release":
		s.release(version)
	case "publish":
		s.publish(version, services(version), routes(version, "counter"))
	case "publish_bad":
		s.publish(version, services(version), routes(version, "absent"))
	case "serve":
		s.serve(version)
	case "lag": // The platform answers the next reads with an older index.
		s.servedIndex, s.consistent = version, false
	case "answer":
		s.answer(hosts[0], version)
	case "miss": // The host's waiting read is not notified of changes.
		s.nodes[hosts[0]].watchPending = false
	case "push_unknown_base":
		push := &message.Push{Version: uint64(version), Base: 1, Digest: make([]byte, 32)}
		s.step(hosts[0], s.nodes[hosts[0]], kernel.Received{Host: hosts[1], Frame: &message.Frame{Body: &message.Frame_Push{Push: push}}})
	case "read_unvalidated":
		bad := unvalidatedSnapshot(version, routes(version, "absent"))
		s.step(hosts[0], s.nodes[hosts[0]], reader.VersionRead{Snapshot: bad})
	default:
		t.Fatalf("unknown verb %s", verb)
	}
}

// dropFrames drops frames "from HOST", "to HOST", of the kind "heartbeats", or the
// first "push" to a host.
func (s *script) dropFrames(args []string) {
	pushes := 0
	s.drop = func(from, to id.Host, frame *message.Frame) bool {
		switch args[0] {
		case "from":
			return from == id.Host(args[1]) && frame.GetHello() == nil
		case "to":
			return to == id.Host(args[1])
		case "push":
			if frame.GetPush() != nil && to == id.Host(args[1]) {
				pushes++
				return pushes == 1
			}
			return slices.Contains(args, "heartbeats") && frame.GetHeartbeat() != nil
		default:
			return false
		}
	}
}

func (s *script) show(args []string) {
	for _, host := range s.hosts {
		node := s.nodes[host]
		if node.kernel == nil || len(args) > 0 && !slices.Contains(args, string(host)) {
			continue
		}
		shared := node.kernel.SharedState()
		fmt.Fprintf(&s.out, "%s: %s %d", host, node.ready, node.inForce)
		if shared.Refused != 0 {
			fmt.Fprintf(&s.out, ", refused %d: %s", shared.Refused, shared.RefusedReason)
		}
		fmt.Fprintln(&s.out)
	}
}
