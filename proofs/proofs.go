// Package proofs holds recorded traces of daemons under faults, with their
// expected outcomes, and records of calls under faults. It has tests only.
//
// The tests replay each trace in a new kernel and compare the outcome with the
// expected one. With the mechanism that a guarantee depends on disabled, the same
// trace must violate that guarantee. docs/proofs.md lists what each trace shows.
//
// # Usage
//
// The trace folders of testdata are named after the scenarios of
// marjoramsaddle-bench record. To replace one, record its scenario again and copy
// the traces of the same daemons:
//
//	marjoramsaddle-bench record --scenario pause --out /tmp/traces
//	marjoramsaddle trace replay /tmp/traces/pause/HOST.1.trace.gz --expect /tmp/traces/pause/HOST.1.expect.json
package proofs
