// Package settings reads and validates the JSON settings file of a daemon. Unknown
// fields are rejected, and every error names the file, the field if there is one,
// and the remedy.
//
// Usage:
//
//	s, err := settings.Load("daemon.json")
//	if err != nil {
//		return err // daemon.json: hop_address: missing: ...
//	}
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"time"

	"marjoramsaddle/core/balance"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// Settings holds the settings of one daemon. An address is an IP address with a
// port.
type Settings struct {
	Host          id.Host    `json:"host"`
	FailureDomain id.Domain  `json:"failure_domain"`
	Region        id.Region  `json:"region,omitempty"`
	Service       id.Service `json:"service"`

	// CallerAddress is where the daemon accepts calls from callers (TCP).
	CallerAddress string `json:"caller_address"`
	// ControlAddress is where the daemon accepts control links (UDP).
	ControlAddress string `json:"control_address"`
	// ControlAdvertise is the control address that the daemon announces to peers,
	// in case they reach it at another one. The default is ControlAddress.
	ControlAdvertise string `json:"control_advertise,omitempty"`
	// HopAddress is where the daemon accepts calls from other daemons (TCP, and UDP
	// for HTTP/3).
	HopAddress string `json:"hop_address"`
	// HopAdvertise is the hop address that the daemon announces to peers. The
	// default is HopAddress.
	HopAdvertise string `json:"hop_advertise,omitempty"`
	// OperatorAddress is where the daemon serves the operators' interface and the
	// metrics (TCP).
	OperatorAddress string `json:"operator_address"`
	// BackendAddress is the address of the backend server of this host.
	BackendAddress string `json:"backend_address"`
	// BackendHealthPath is the URL path of the backend server's health endpoint. The
	// default is /healthz.
	BackendHealthPath string `json:"backend_health_path,omitempty"`
	// PlatformURL is the base URL of the platform; empty means none.
	PlatformURL string `json:"platform_url,omitempty"`

	Seeds []kernel.Seed `json:"seeds,omitempty"`
	TLS   TLS           `json:"tls"`

	// HopTransport is http2 (the default) or http3.
	HopTransport string `json:"hop_transport,omitempty"`
	// DrainMS is the time limit of a graceful shutdown, in milliseconds. The default
	// is 10 min.
	DrainMS int `json:"drain_ms,omitempty"`
	// LogLevel is debug, info (the default), warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// IdempotencyOrigin is a time, in RFC 3339 format, before which no idempotency
	// key was used. Keys are refused until then.
	IdempotencyOrigin string `json:"idempotency_origin,omitempty"`
	// TraceEvents is the number of recent kernel events that the daemon keeps. The
	// default is 4096.
	TraceEvents int `json:"trace_events,omitempty"`
	// TraceFile is the file to which the daemon writes every kernel event since its
	// start; empty means none. The file grows without limit.
	TraceFile string `json:"trace_file,omitempty"`

	Experiment Experiment `json:"experiment,omitempty"`
}

// TLS holds the paths of the PEM files with the daemon's certificate, its private
// key, and the certificate of the authority that signs those of all daemons.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	AuthorityFile   string `json:"authority_file"`
}

// Experiment selects baseline algorithms and disables mechanisms for measurements.
// Production settings leave it empty.
type Experiment struct {
	// Strategy is how configuration is distributed: delta (the default), full or
	// poll.
	Strategy string `json:"strategy,omitempty"`
	// Balance is the load balancing policy: least_loaded (the
	// default), round_robin or random.
	Balance string `json:"balance,omitempty"`
	// NoFloor, NoWitness and AcceptOlder are fields of kernel.Options.
	NoFloor     bool `json:"no_floor,omitempty"`
	NoWitness   bool `json:"no_witness,omitempty"`
	AcceptOlder bool `json:"accept_older,omitempty"`
	// NoRetryBudget lets retries exceed their budget.
	NoRetryBudget bool `json:"no_retry_budget,omitempty"`
	// NoRecords treats calls with an idempotency key like calls without one.
	NoRecords bool `json:"no_records,omitempty"`
	// SettleMS overrides the time, in milliseconds, that hosts have for discovering
	// each other after their start, so that tests need not wait for it.
	SettleMS int `json:"settle_ms,omitempty"`
}

// Defaults and values of fields.
const (
	defaultDrainMS     = 600_000
	defaultTraceEvents = 4096
	defaultHealthPath  = "/healthz"
	// HTTP2 and HTTP3 are the values of HopTransport.
	HTTP2 = "http2"
	HTTP3 = "http3"
)

// Error describes a problem with the settings and how to correct it. Field is empty
// if the problem concerns the whole file.
type Error struct {
	File    string
	Field   string
	Problem string
	Remedy  string
}

// Error returns the file, the field, the problem and the remedy.
func (e *Error) Error() string {
	text := e.File + ": "
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Problem + ": " + e.Remedy
}

// Load reads the settings file, applies the defaults and validates the settings.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error(), Remedy: "name a readable settings file"}
	}
	return Parse(file, data)
}

// Parse is like Load for data that was read from the named file.
func Parse(file string, data []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, &Error{File: file, Problem: err.Error(), Remedy: "correct the field; see docs/operations.md"}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{File: file, Problem: "data after the settings", Remedy: "keep one JSON object"}
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		err.File = file
		return nil, err
	}
	return &s, nil
}

func (s *Settings) setDefaults() {
	if s.DrainMS == 0 {
		s.DrainMS = defaultDrainMS
	}
	if s.TraceEvents == 0 {
		s.TraceEvents = defaultTraceEvents
	}
	if s.BackendHealthPath == "" {
		s.BackendHealthPath = defaultHealthPath
	}
	if s.HopTransport == "" {
		s.HopTransport = HTTP2
	}
	if s.ControlAdvertise == "" {
		s.ControlAdvertise = s.ControlAddress
	}
	if s.HopAdvertise == "" {
		s.HopAdvertise = s.HopAddress
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func (s *Settings) check() *Error {
	required := []struct{ field, value string }{
		{"host", string(s.Host)},
		{"failure_domain", string(s.FailureDomain)},
		{"service", string(s.Service)},
		{"tls.certificate_file", s.TLS.CertificateFile},
		{"tls.key_file", s.TLS.KeyFile},
		{"tls.authority_file", s.TLS.AuthorityFile},
	}
	for _, one := range required {
		if one.value == "" {
			return &Error{Field: one.field, Problem: "missing", Remedy: "set it"}
		}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	return s.checkValues()
}

func (s *Settings) checkAddresses() *Error {
	addresses := []struct{ field, value string }{
		{"caller_address", s.CallerAddress},
		{"control_address", s.ControlAddress},
		{"hop_address", s.HopAddress},
		{"operator_address", s.OperatorAddress},
		{"backend_address", s.BackendAddress},
		{"control_advertise", s.ControlAdvertise},
		{"hop_advertise", s.HopAdvertise},
	}
	for _, address := range addresses {
		if err := checkAddress(address.field, address.value); err != nil {
			return err
		}
	}
	for index, seed := range s.Seeds {
		if err := checkAddress(fmt.Sprintf("seeds[%d].address", index), seed.Address); err != nil {
			return err
		}
	}
	if s.PlatformURL == "" {
		return nil
	}
	if parsed, err := url.Parse(s.PlatformURL); err != nil || parsed.Host == "" {
		return &Error{Field: "platform_url", Problem: fmt.Sprintf("%q is not a URL", s.PlatformURL), Remedy: "write it like http://192.0.2.1:8500"}
	}
	return nil
}

func checkAddress(field, value string) *Error {
	host, _, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil {
		return nil
	}
	return &Error{
		Field: field, Problem: fmt.Sprintf("%q is not an IP address with a port", value),
		Remedy: "write it like 192.0.2.1:7000",
	}
}

func (s *Settings) checkValues() *Error {
	if s.HopTransport != HTTP2 && s.HopTransport != HTTP3 {
		return &Error{Field: "hop_transport", Problem: fmt.Sprintf("unknown value %q", s.HopTransport), Remedy: "use http2 or http3"}
	}
	if _, ok := kernel.ParseStrategy(s.strategyName()); !ok {
		return &Error{Field: "experiment.strategy", Problem: fmt.Sprintf("unknown value %q", s.Experiment.Strategy), Remedy: "use delta, full or poll"}
	}
	if _, ok := balance.ParsePolicy(s.Experiment.Balance); !ok {
		return &Error{Field: "experiment.balance", Problem: fmt.Sprintf("unknown value %q", s.Experiment.Balance), Remedy: "use least_loaded, round_robin or random"}
	}
	if _, err := time.Parse(time.RFC3339, s.IdempotencyOrigin); err != nil && s.IdempotencyOrigin != "" {
		return &Error{Field: "idempotency_origin", Problem: fmt.Sprintf("%q is not a time", s.IdempotencyOrigin), Remedy: "write it like 2026-01-31T08:00:00Z"}
	}
	if s.DrainMS < 0 || s.TraceEvents < 0 {
		return &Error{Field: "drain_ms, trace_events", Problem: "negative", Remedy: "use 0 or more"}
	}
	return nil
}

func (s *Settings) strategyName() string {
	if s.Experiment.Strategy == "" {
		return kernel.StrategyDelta.String()
	}
	return s.Experiment.Strategy
}

// BalancePolicy returns the load balancing policy.
func (s *Settings) BalancePolicy() balance.Policy {
	policy, _ := balance.ParsePolicy(s.Experiment.Balance)
	return policy
}

// Options returns the kernel options that the settings select.
func (s *Settings) Options() kernel.Options {
	strategy, _ := kernel.ParseStrategy(s.strategyName())
	return kernel.Options{
		Strategy:    strategy,
		NoFloor:     s.Experiment.NoFloor,
		NoWitness:   s.Experiment.NoWitness,
		AcceptOlder: s.Experiment.AcceptOlder,
	}
}

// Origin returns IdempotencyOrigin, or zero if it is not set.
func (s *Settings) Origin() id.Instant {
	at, err := time.Parse(time.RFC3339, s.IdempotencyOrigin)
	if err != nil {
		return 0
	}
	return id.InstantOf(at)
}

// Environment returns the kernel's environment for a process that started at the
// given time.
func (s *Settings) Environment(started id.Instant) kernel.Environment {
	return kernel.Environment{
		Self: endpoint.Entry{
			Host:        s.Host,
			Domain:      s.FailureDomain,
			Region:      s.Region,
			Service:     s.Service,
			Control:     s.ControlAdvertise,
			Hop:         s.HopAdvertise,
			Incarnation: id.Incarnation(started),
			Sequence:    1,
			Started:     started,
		},
		Seeds:       s.Seeds,
		RandomSeed:  uint64(started),
		HasPlatform: s.PlatformURL != "",
		Options:     s.Options(),
	}
}

// DrainDeadline returns the time limit of a graceful shutdown that starts at now.
func (s *Settings) DrainDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(s.DrainMS) * time.Millisecond)
}
