package saddlestore

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// startSegment goes on in a new segment. The one before is synced.
func (s *Store) startSegment() error {
	name := segmentName(s.segment + 1)
	file, err := s.fs.Create(name)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	if err := s.fs.SyncFolder(); err != nil {
		_ = file.Close()
		return err
	}
	return s.goOnIn(file, 0)
}

// startCheckpoint goes on in a new segment that needs none before it, and
// removes those. The segment gets its name once it is whole and synced.
func (s *Store) startCheckpoint() error {
	records := []*saddlewire.StoreRecord{{Record: &saddlewire.StoreRecord_Checkpoint{
		Checkpoint: &saddlewire.Checkpoint{Index: s.base, Term: s.baseTerm, Hard: s.hard},
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
	name := segmentName(s.segment + 1)
	if err := s.writeWhole(name, payloads); err != nil {
		return err
	}
	file, err := s.fs.Open(name, size)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	if err := s.goOnIn(file, size); err != nil {
		return err
	}
	return s.removeBefore(s.segment)
}

func (s *Store) goOnIn(file File, size int64) error {
	old := s.file
	s.segment++
	s.file = file
	s.size = size
	s.synced = size
	if old == nil {
		return nil
	}
	if err := old.Close(); err != nil {
		return eris.Wrapf(err, "close %s", segmentName(s.segment-1))
	}
	return nil
}

// removeBefore removes the segments below a number. Any that come back after
// a crash are removed when the store is opened.
func (s *Store) removeBefore(n uint64) error {
	files, err := s.fs.List()
	if err != nil {
		return err
	}
	for _, old := range segments(files) {
		if old >= n {
			break
		}
		if err := s.fs.Remove(segmentName(old)); err != nil {
			return eris.Wrapf(err, "remove %s", segmentName(old))
		}
	}
	return nil
}

// writeWhole writes records to a new file, syncs it and gives it its name.
func (s *Store) writeWhole(name string, payloads [][]byte) error {
	tmp := name + newSuffix
	file, err := s.fs.Create(tmp)
	if err != nil {
		return eris.Wrapf(err, "create %s", tmp)
	}
	if err := fill(file, payloads); err != nil {
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

// fill writes and syncs records.
func fill(file File, payloads [][]byte) error {
	for _, payload := range payloads {
		if _, err := file.Write(encodeRecord(payload, 0)); err != nil {
			return err
		}
	}
	return file.Sync()
}
