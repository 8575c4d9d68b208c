package saddlestore

import (
	"errors"
	"io/fs"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// load reads all files and makes the store ready for writing.
func (s *Store) load() (*saddlewire.Snapshot, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, err
	}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return nil, err
	}
	numbers := segments(files)
	if len(numbers) == 0 {
		if snapshot.GetIndex() > 0 {
			return nil, &DamageError{File: segmentName(1), Reason: "the snapshot is there and no segment is"}
		}
		return snapshot, s.startSegment()
	}
	if err := s.readSegments(numbers); err != nil {
		return nil, err
	}
	return snapshot, s.reconcile(snapshot)
}

func (s *Store) readSnapshot() (*saddlewire.Snapshot, error) {
	data, err := s.fs.Read(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return &saddlewire.Snapshot{}, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", snapshotName)
	}
	payloads, _, err := decodeRecords(snapshotName, data, false)
	if err != nil {
		return nil, err
	}
	if len(payloads) != 1 {
		return nil, &DamageError{File: snapshotName, Reason: "it must hold one record"}
	}
	snapshot := &saddlewire.Snapshot{}
	if err := proto.Unmarshal(payloads[0], snapshot); err != nil {
		return nil, &DamageError{File: snapshotName, Reason: err.Error()}
	}
	return snapshot, nil
}

// readSegments replays the segments from the last checkpoint on and opens the
// last one for writing, without what was never synced.
func (s *Store) readSegments(numbers []uint64) error {
	contents := make([][][]byte, len(numbers))
	var sound int64
	first := 0
	for i := len(numbers) - 1; i >= 0; i-- {
		payloads, n, err := s.readSegment(numbers[i], i == len(numbers)-1)
		if err != nil {
			return err
		}
		if i == len(numbers)-1 {
			sound = n
		}
		contents[i] = payloads
		first = i
		if startsWithCheckpoint(payloads) {
			break
		}
	}
	if first == 0 && !startsWithCheckpoint(contents[0]) && numbers[0] != 1 {
		return &DamageError{File: segmentName(numbers[0] - 1), Reason: "the segment is missing"}
	}
	for i := first; i < len(numbers); i++ {
		if i > first && numbers[i] != numbers[i-1]+1 {
			return &DamageError{File: segmentName(numbers[i-1] + 1), Reason: "the segment is missing"}
		}
		if err := s.replayAll(segmentName(numbers[i]), contents[i]); err != nil {
			return err
		}
	}
	if err := s.openLast(slices.Max(numbers), sound); err != nil {
		return err
	}
	return s.removeBefore(numbers[first])
}

func (s *Store) openLast(number uint64, sound int64) error {
	name := segmentName(number)
	file, err := s.fs.Open(name, sound)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "sync %s", name)
	}
	s.segment = number
	s.file = file
	s.size = sound
	s.synced = sound
	return s.fs.SyncFolder()
}

func (s *Store) readSegment(number uint64, last bool) ([][]byte, int64, error) {
	name := segmentName(number)
	data, err := s.fs.Read(name)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "read %s", name)
	}
	return decodeRecords(name, data, last)
}

func startsWithCheckpoint(payloads [][]byte) bool {
	if len(payloads) == 0 {
		return false
	}
	rec := &saddlewire.StoreRecord{}
	return proto.Unmarshal(payloads[0], rec) == nil && rec.GetCheckpoint() != nil
}

func (s *Store) replayAll(name string, payloads [][]byte) error {
	var offset int64
	for _, payload := range payloads {
		rec := &saddlewire.StoreRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return &DamageError{File: name, Offset: offset, Reason: err.Error()}
		}
		if err := s.replay(rec); err != nil {
			return &DamageError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset += headerBytes + int64(len(payload))
	}
	return nil
}

var errGap = errors.New("entries before it are missing")

func (s *Store) replay(rec *saddlewire.StoreRecord) error {
	if hard := rec.GetHard(); hard != nil {
		s.hard = hard
	}
	if c := rec.GetCheckpoint(); c != nil {
		s.hard = c.GetHard()
		s.rebase(&saddlewire.Snapshot{Index: c.GetIndex(), Term: c.GetTerm()})
	}
	if e := rec.GetEntry(); e != nil {
		if e.GetIndex() > s.base+uint64(len(s.entries))+1 {
			return errGap
		}
		s.keep(e)
	}
	return nil
}

// reconcile finishes a snapshot that a crash cut short.
func (s *Store) reconcile(snapshot *saddlewire.Snapshot) error {
	if snapshot.GetIndex() < s.base {
		return &DamageError{File: snapshotName, Reason: "it is older than the log's checkpoint"}
	}
	if snapshot.GetIndex() == s.base {
		return nil
	}
	s.rebase(snapshot)
	return s.startCheckpoint()
}
