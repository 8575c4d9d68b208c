package saddlestore

import (
	"errors"
	"io/fs"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// load reads the snapshot and the segments and returns the snapshot. It opens the
// last segment for writing, or a new one if there is none.
func (s *Store) load() (*saddlewire.Snapshot, error) {
	files, err := s.fs.List()
	if err != nil {
		return nil, err
	}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return nil, err
	}
	numbers := segmentNumbers(files)
	if len(numbers) == 0 {
		if snapshot.GetIndex() > 0 {
			return nil, &CorruptionError{File: segmentName(1), Reason: "snapshot exists but there is no log segment"}
		}
		return snapshot, s.startSegment()
	}
	if err := s.readSegments(numbers); err != nil {
		return nil, err
	}
	return snapshot, s.reconcileSnapshot(snapshot)
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
		return nil, &CorruptionError{File: snapshotName, Reason: "snapshot file must hold exactly one record"}
	}
	snapshot := &saddlewire.Snapshot{}
	if err := proto.Unmarshal(payloads[0], snapshot); err != nil {
		return nil, &CorruptionError{File: snapshotName, Reason: err.Error()}
	}
	return snapshot, nil
}

// readSegments replays the segments from the last checkpoint on, truncates a torn
// write at the end of the last segment, opens this segment for writing, and
// removes the segments before the checkpoint.
func (s *Store) readSegments(numbers []uint64) error {
	segmentPayloads := make([][][]byte, len(numbers))
	var validBytes int64
	start := 0
	for i := len(numbers) - 1; i >= 0; i-- {
		payloads, size, err := s.readSegment(numbers[i], i == len(numbers)-1)
		if err != nil {
			return err
		}
		if i == len(numbers)-1 {
			validBytes = size
		}
		segmentPayloads[i] = payloads
		start = i
		if c := leadingCheckpoint(payloads); c != nil {
			if uint64(len(payloads)-1) < c.GetEntries() {
				return &CorruptionError{File: segmentName(numbers[i]), Offset: size, Reason: "invalid record, although it was synced together with the checkpoint"}
			}
			break
		}
	}
	if start == 0 && leadingCheckpoint(segmentPayloads[0]) == nil && numbers[0] != 1 {
		return &CorruptionError{File: segmentName(numbers[0] - 1), Reason: "segment is missing"}
	}
	for i := start; i < len(numbers); i++ {
		if i > start && numbers[i] != numbers[i-1]+1 {
			return &CorruptionError{File: segmentName(numbers[i-1] + 1), Reason: "segment is missing"}
		}
		if err := s.replayRecords(segmentName(numbers[i]), segmentPayloads[i]); err != nil {
			return err
		}
	}
	if err := s.openLastSegment(slices.Max(numbers), validBytes); err != nil {
		return err
	}
	return s.removeSegmentsBefore(numbers[start])
}

func (s *Store) openLastSegment(number uint64, validBytes int64) error {
	name := segmentName(number)
	file, err := s.fs.Open(name, validBytes)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "sync %s", name)
	}
	s.segmentNumber = number
	s.file = file
	s.size = validBytes
	s.synced = validBytes
	return s.fs.SyncFolder()
}

// readSegment returns the payloads of a segment and the length of its valid part.
// last is set for the last segment, which may end with a torn write.
func (s *Store) readSegment(number uint64, last bool) ([][]byte, int64, error) {
	name := segmentName(number)
	data, err := s.fs.Read(name)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "read %s", name)
	}
	return decodeRecords(name, data, last)
}

// leadingCheckpoint returns the checkpoint with which a segment starts, or nil.
func leadingCheckpoint(payloads [][]byte) *saddlewire.Checkpoint {
	if len(payloads) == 0 {
		return nil
	}
	rec := &saddlewire.StoreRecord{}
	if err := proto.Unmarshal(payloads[0], rec); err != nil {
		return nil // replayRecords reports it
	}
	return rec.GetCheckpoint()
}

func (s *Store) replayRecords(name string, payloads [][]byte) error {
	var offset int64
	for _, payload := range payloads {
		rec := &saddlewire.StoreRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return &CorruptionError{File: name, Offset: offset, Reason: err.Error()}
		}
		if err := s.replayRecord(rec); err != nil {
			return &CorruptionError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset += headerBytes + int64(len(payload))
	}
	return nil
}

var errMissingEntries = errors.New("preceding log entries are missing")

func (s *Store) replayRecord(rec *saddlewire.StoreRecord) error {
	if hard := rec.GetHard(); hard != nil {
		s.hard = hard
	}
	if c := rec.GetCheckpoint(); c != nil {
		s.hard = c.GetHard()
		s.compact(&saddlewire.Snapshot{Index: c.GetIndex(), Term: c.GetTerm()})
	}
	if e := rec.GetEntry(); e != nil {
		if e.GetIndex() > s.snapshotIndex+uint64(len(s.entries))+1 {
			return errMissingEntries
		}
		s.mirrorEntry(e)
	}
	return nil
}

// reconcileSnapshot completes a call of SetSnapshot that a crash interrupted after
// the snapshot file was written and before the checkpoint segment was in place. A
// snapshot that is older than the checkpoint is reported as corruption.
func (s *Store) reconcileSnapshot(snapshot *saddlewire.Snapshot) error {
	if snapshot.GetIndex() < s.snapshotIndex {
		return &CorruptionError{File: snapshotName, Reason: "snapshot is older than the checkpoint of the log"}
	}
	if snapshot.GetIndex() == s.snapshotIndex {
		return nil
	}
	s.compact(snapshot)
	return s.startCheckpointSegment()
}
