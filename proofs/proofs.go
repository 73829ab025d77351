// Package proofs holds traces of daemons under faults with their stated
// outcomes. Its test replays each trace in a new kernel and compares; with a
// mechanism switched off, the same trace must miss its outcome. docs/proofs.md
// lists what each trace shows.
//
// # Usage
//
// The folders of testdata are named for the scenarios of marjoramsaddle-bench
// record. A folder is replaced by recording its scenario again and copying the
// same daemons:
//
//	marjoramsaddle-bench record --scenario pause --out /tmp/traces
//	marjoramsaddle trace replay /tmp/traces/pause/HOST.1.trace.gz --expect /tmp/traces/pause/HOST.1.expect.json
package proofs
