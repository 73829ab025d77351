package load

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"

	"marjoramsaddle/standin/backend"
)

// Evidence is what a run has recorded: what the callers saw, and what the
// backend servers wrote into their journals. Its report depends on nothing else.
type Evidence struct {
	Workload string   `json:"workload"`
	Policy   string   `json:"policy"`
	Faults   []string `json:"faults"`
	Plan     Plan     `json:"plan"`
	// Capacity is in calls per second.
	Capacity float64 `json:"capacity"`
	// Retries is the number of repeats that the daemons have counted.
	Retries int `json:"retries"`
	// Left maps the address of a daemon's callers to the time at which it began
	// to leave, in Unix nanoseconds.
	Left     map[string]int64  `json:"left"`
	Records  []Record          `json:"records"`
	Journals []backend.Journal `json:"journals"`
}

// Report compares the records with the journals.
func (e Evidence) Report() Report {
	comparison := Compare(e.Records, e.Journals)
	comparison.ExtraAttempts = max(comparison.ExtraAttempts, e.Retries)
	comparison.LostInStop += cutOffAtEntry(e.Records, e.Left)
	return NewReport(e.Records, comparison, e.Capacity, e.Plan)
}

// save writes the evidence as compressed JSON. An empty name writes nothing.
func (e Evidence) save(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("save evidence: %w", err)
	}
	compressed := gzip.NewWriter(file)
	err = json.NewEncoder(compressed).Encode(e.trimmed())
	if closeErr := compressed.Close(); err == nil {
		err = closeErr
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("save evidence: %w", err)
	}
	return nil
}

// trimmed leaves out the bodies of requests, and the rows of calls that were
// made before the run to warm the fleet up.
func (e Evidence) trimmed() Evidence {
	tokens := map[string]bool{}
	records := make([]Record, len(e.Records))
	for i, record := range e.Records {
		tokens[record.Call.Token] = true
		record.Call.Body = ""
		records[i] = record
	}
	e.Records = records
	journals := make([]backend.Journal, len(e.Journals))
	for i, journal := range e.Journals {
		journals[i].DrainUnixNs = journal.DrainUnixNs
		for _, row := range journal.Rows {
			if tokens[row.Token] {
				journals[i].Rows = append(journals[i].Rows, row)
			}
		}
	}
	e.Journals = journals
	return e
}

// ReadEvidence reads what save has written.
func ReadEvidence(name string) (Evidence, error) {
	var e Evidence
	file, err := os.Open(name)
	if err != nil {
		return e, fmt.Errorf("read evidence: %w", err)
	}
	defer func() { _ = file.Close() }()
	plain, err := gzip.NewReader(file)
	if err != nil {
		return e, fmt.Errorf("read evidence: %w", err)
	}
	if err := json.NewDecoder(plain).Decode(&e); err != nil {
		return e, fmt.Errorf("read evidence: %w", err)
	}
	return e, nil
}

func faultNames(faults []Fault) []string {
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.String())
	}
	return names
}
