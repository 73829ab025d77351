package load

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Fault -linecomment -output=fault_string.go

// Fault is a fault that an experiment plays at the first host, from one third
// of the run to two thirds.
type Fault int

// The faults.
const (
	NoFault           Fault = iota // none
	KillDaemonEntry                // kill_daemon_entry
	KillDaemonTarget               // kill_daemon_target
	StopDaemon                     // stop_daemon
	RestartDaemon                  // restart_daemon
	PauseDaemon                    // pause_daemon
	KillBackend                    // kill_backend
	StopBackend                    // stop_backend
	RestartBackend                 // restart_backend
	PauseBackend                   // pause_backend
	SlowBackend                    // slow_backend
	StallBackend                   // stall_backend
	GarbageBackend                 // garbage_backend
	CutMidAnswer                   // cut_mid_answer
	LeavingListedLive              // leaving_listed_live
	LyingHealth                    // lying_health
	Overload                       // overload
	RetryStorm                     // retry_storm
	faultCount                     // end
)

// FaultNames returns the names of all faults.
func FaultNames() string {
	names := make([]string, 0, int(faultCount))
	for fault := NoFault; fault < faultCount; fault++ {
		names = append(names, fault.String())
	}
	return strings.Join(names, ", ")
}

// ParseFaults returns the faults with the given names, separated by commas. The
// empty text is no fault.
func ParseFaults(names string) ([]Fault, error) {
	var faults []Fault
	if names == "" {
		return nil, nil
	}
	for name := range strings.SplitSeq(names, ",") {
		fault, err := parseFault(name)
		if err != nil {
			return nil, err
		}
		if fault != NoFault {
			faults = append(faults, fault)
		}
	}
	return faults, nil
}

func parseFault(name string) (Fault, error) {
	for fault := NoFault; fault < faultCount; fault++ {
		if fault.String() == name {
			return fault, nil
		}
	}
	return NoFault, fmt.Errorf("unknown fault %q; use one or more of %s, separated by commas", name, FaultNames())
}

// needsDaemons reports whether the fault is one of a daemon.
func (f Fault) needsDaemons() bool { return f >= KillDaemonEntry && f <= PauseDaemon }

// avoidsEntry reports whether callers do not connect to the daemon that has the
// fault, so that the fault meets only calls from other daemons.
func (f Fault) avoidsEntry() bool { return f == KillDaemonTarget }
