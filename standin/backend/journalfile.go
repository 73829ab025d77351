package backend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// journalLine is one line of a journal file: the start of the drain, or the state of
// the row at a position. The last line for a position is the current one.
type journalLine struct {
	DrainUnixNs int64 `json:"drain_unix_ns,omitempty"`
	Position    int   `json:"position"`
	Row         *Row  `json:"row,omitempty"`
}

// append writes a line if the journal has a file. Lines are not buffered, so that
// they survive a kill of the process. The caller holds j.mu.
func (j *journal) append(e journalLine) {
	if j.file == nil || j.fileErr != nil {
		return
	}
	data, err := json.Marshal(e)
	if err != nil {
		j.fileErr = err
		return
	}
	_, j.fileErr = j.file.Write(append(data, '\n'))
}

// open creates the journal's file, if one is set.
func (j *journal) open(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create journal; choose a writable folder: %w", err)
	}
	j.file = file
	return nil
}

// close closes the file. Its error includes the first failed write.
func (j *journal) close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	err := errors.Join(j.fileErr, j.file.Close())
	j.file = nil
	return err
}

// ReadJournal reads a journal file, which may stem from a killed process: an
// incomplete last line is ignored.
func ReadJournal(path string) (Journal, error) {
	file, err := os.Open(path)
	if err != nil {
		return Journal{}, err
	}
	defer func() { _ = file.Close() }()
	var journal Journal
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return journal, nil
		}
		if err != nil {
			return Journal{}, err
		}
		if err := journal.apply(line); err != nil {
			return Journal{}, fmt.Errorf("read journal %s: %w", path, err)
		}
	}
}

func (j *Journal) apply(line []byte) error {
	var e journalLine
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	switch {
	case e.DrainUnixNs != 0:
		j.DrainUnixNs = e.DrainUnixNs
	case e.Row == nil || e.Position < 0 || e.Position > len(j.Rows):
		return fmt.Errorf("row %d does not follow %d rows", e.Position, len(j.Rows))
	case e.Position == len(j.Rows):
		j.Rows = append(j.Rows, *e.Row)
	default:
		j.Rows[e.Position] = *e.Row
	}
	return nil
}
