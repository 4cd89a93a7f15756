package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const _journalMode = 0o600

// journal writes the log to a file, so that the log survives a kill and restart
// of the stand-in. The zero value writes nothing.
type journal struct {
	file *os.File
}

// journalLine is one record of the file, encoded as a line of JSON.
type journalLine struct {
	Stream   string `json:"stream"`
	Data     []byte `json:"data"`
	AtUnixMs int64  `json:"atUnixMs"`
}

func (j journal) write(stream string, data []byte, now time.Time) error {
	if j.file == nil {
		return nil
	}
	return json.NewEncoder(j.file).Encode(journalLine{Stream: stream, Data: data, AtUnixMs: now.UnixMilli()})
}

// Open loads the log from a file, creating the file if it is missing, and
// writes every later append to it. An incomplete last line is truncated, since
// its append was never acknowledged.
func (s *Server) Open(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, _journalMode)
	if err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end, err := s.load(f)
	if err != nil {
		return errors.Join(fmt.Errorf("load journal: %w", err), f.Close())
	}
	if err := f.Truncate(end); err != nil {
		return errors.Join(fmt.Errorf("truncate journal: %w", err), f.Close())
	}
	if _, err := f.Seek(end, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("seek journal: %w", err), f.Close())
	}
	s.journal.file = f
	return nil
}

// load reads the file and returns the offset at which its last complete line
// ends.
func (s *Server) load(r io.Reader) (int64, error) {
	d := json.NewDecoder(r)
	var end int64
	for {
		var l journalLine
		err := d.Decode(&l)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return end, nil
		}
		if err != nil {
			return 0, err
		}
		s.stream(l.Stream).append(l.Data, time.UnixMilli(l.AtUnixMs))
		end = d.InputOffset()
	}
}
