package saddlestore

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// startSegment switches to a new empty segment. The current segment must be
// synced.
func (s *Store) startSegment() error {
	name := segmentName(s.segmentNumber + 1)
	file, err := s.fs.Create(name)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	if err := s.fs.SyncFolder(); err != nil {
		_ = file.Close()
		return err
	}
	return s.switchSegment(file, 0)
}

// startCheckpointSegment switches to a new segment that begins with a checkpoint
// and all entries after the snapshot, and removes the earlier segments. The
// segment gets its final name once it is complete and synced.
func (s *Store) startCheckpointSegment() error {
	records := []*saddlewire.StoreRecord{{Record: &saddlewire.StoreRecord_Checkpoint{
		Checkpoint: &saddlewire.Checkpoint{Index: s.snapshotIndex, Term: s.snapshotTerm, Hard: s.hard, Entries: uint64(len(s.entries))},
	}}}
	for _, e := range s.entries {
		records = append(records, &saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Entry{Entry: e}})
	}
	payloads := make([][]byte, 0, len(records))
	size := int64(0)
	for _, rec := range records {
		payload, err := proto.Marshal(rec)
		if err != nil {
			return eris.Wrap(err, "encode log record")
		}
		payloads = append(payloads, payload)
		size += headerBytes + int64(len(payload))
	}
	name := segmentName(s.segmentNumber + 1)
	if err := s.writeFileAtomic(name, payloads); err != nil {
		return err
	}
	file, err := s.fs.Open(name, size)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if err := s.switchSegment(file, size); err != nil {
		return err
	}
	return s.removeSegmentsBefore(s.segmentNumber)
}

// switchSegment makes a synced file of the given size the current segment and closes
// the previous segment.
func (s *Store) switchSegment(file File, size int64) error {
	old := s.file
	s.segmentNumber++
	s.file = file
	s.size = size
	s.synced = size
	if old == nil {
		return nil
	}
	if err := old.Close(); err != nil {
		return eris.Wrapf(err, "close %s", segmentName(s.segmentNumber-1))
	}
	return nil
}

// removeSegmentsBefore removes the segments with a lower number. The removals are
// not synced, because segments that reappear after a crash are removed when the
// store is opened.
func (s *Store) removeSegmentsBefore(number uint64) error {
	files, err := s.fs.List()
	if err != nil {
		return err
	}
	for _, old := range segmentNumbers(files) {
		if old >= number {
			break
		}
		if err := s.fs.Remove(segmentName(old)); err != nil {
			return eris.Wrapf(err, "remove %s", segmentName(old))
		}
	}
	return nil
}

// writeFileAtomic writes records to a temporary file, syncs it and renames it.
func (s *Store) writeFileAtomic(name string, payloads [][]byte) error {
	tmp := name + tempSuffix
	file, err := s.fs.Create(tmp)
	if err != nil {
		return eris.Wrapf(err, "create %s", tmp)
	}
	if err := writeAndSync(file, payloads); err != nil {
		_ = file.Close()
		return eris.Wrapf(err, "write %s", tmp)
	}
	if err := file.Close(); err != nil {
		return eris.Wrapf(err, "close %s", tmp)
	}
	if err := s.fs.Rename(tmp, name); err != nil {
		return eris.Wrapf(err, "rename %s", tmp)
	}
	return s.fs.SyncFolder()
}

// writeAndSync writes records to a new file and syncs it. The headers state zero
// synced bytes, because the file is synced only after the last record.
func writeAndSync(file File, payloads [][]byte) error {
	for _, payload := range payloads {
		if _, err := file.Write(encodeRecord(payload, 0)); err != nil {
			return err
		}
	}
	return file.Sync()
}
