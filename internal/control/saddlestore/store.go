package saddlestore

import (
	"os"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// SegmentBytes is the length after which a segment is followed by a new one.
const SegmentBytes = 8 << 20

// Store is a replica's files. It is used by one goroutine and implements
// fireflysaddle.LogStore.
type Store struct {
	fs      FS
	limit   int64 // of a segment, bytes
	err     error // first write error; the store takes no writes after it
	segment uint64
	file    File
	size    int64 // of the segment, bytes
	synced  int64 // bytes of it known to be durable

	hard     *saddlewire.HardState
	base     uint64 // index of the snapshot
	baseTerm uint64
	entries  []*saddlewire.LogEntry // after the snapshot
}

// Loaded is what a store held when it was opened.
type Loaded struct {
	Hard     *saddlewire.HardState
	Snapshot *saddlewire.Snapshot
	Entries  []*saddlewire.LogEntry
}

// Open reads the data folder, creating it where needed. The returned clean-up
// closes the files. Damage is a *DamageError, a folder that another process
// uses an *InUseError.
func Open(dir string) (*Store, Loaded, func() error, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, Loaded{}, nil, eris.Wrapf(err, "create data folder %s", dir)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, Loaded{}, nil, err
	}
	s, loaded, closeFile, err := OpenFS(folder{dir: dir}, SegmentBytes)
	if err != nil {
		_ = lock.Close()
		return nil, Loaded{}, nil, eris.Wrapf(err, "open data folder %s", dir)
	}
	cleanup := func() error {
		err := closeFile()
		_ = lock.Close()
		return err
	}
	return s, loaded, cleanup, nil
}

// OpenFS reads the files of a file system that no other store uses. A segment
// longer than limit bytes is followed by a new one.
func OpenFS(fs FS, limit int64) (*Store, Loaded, func() error, error) {
	s := &Store{fs: fs, limit: limit}
	snapshot, err := s.load()
	if err != nil {
		return nil, Loaded{}, nil, err
	}
	loaded := Loaded{Hard: s.hard, Snapshot: snapshot, Entries: append([]*saddlewire.LogEntry(nil), s.entries...)}
	return s, loaded, func() error { return s.file.Close() }, nil
}

// Append adds entries, replacing those at and after the first one's index.
func (s *Store) Append(entries []*saddlewire.LogEntry) error {
	for _, e := range entries {
		s.keep(e)
		if err := s.write(&saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Entry{Entry: e}}); err != nil {
			return err
		}
	}
	return nil
}

// SetHardState records the term and vote.
func (s *Store) SetHardState(hard *saddlewire.HardState) error {
	s.hard = hard
	return s.write(&saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Hard{Hard: hard}})
}

// SetSnapshot replaces the log up to the snapshot's index. It is durable when
// it returns.
func (s *Store) SetSnapshot(snapshot *saddlewire.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	return s.fail(s.setSnapshot(snapshot))
}

func (s *Store) setSnapshot(snapshot *saddlewire.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := s.writeWhole(snapshotName, [][]byte{data}); err != nil {
		return err
	}
	s.rebase(snapshot)
	return s.startCheckpoint()
}

// Sync makes all that came before durable.
func (s *Store) Sync() error {
	if s.err != nil {
		return s.err
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(eris.Wrapf(err, "sync %s", segmentName(s.segment)))
	}
	s.synced = s.size
	if s.size < s.limit {
		return nil
	}
	return s.fail(s.startSegment())
}

// fail notes the first error, after which nothing is written.
func (s *Store) fail(err error) error {
	if err != nil && s.err == nil {
		s.err = err
	}
	return err
}

// keep mirrors an entry in memory, for the next checkpoint.
func (s *Store) keep(e *saddlewire.LogEntry) {
	if e.GetIndex() <= s.base {
		return
	}
	if at := e.GetIndex() - s.base - 1; at < uint64(len(s.entries)) {
		s.entries = s.entries[:at:at]
	}
	s.entries = append(s.entries, e)
}

func (s *Store) write(rec *saddlewire.StoreRecord) error {
	if s.err != nil {
		return s.err
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return s.fail(eris.Wrap(err, "encode log record"))
	}
	record := encodeRecord(payload, s.synced)
	if _, err := s.file.Write(record); err != nil {
		return s.fail(eris.Wrapf(err, "write %s", segmentName(s.segment)))
	}
	s.size += int64(len(record))
	return nil
}

// rebase drops the entries that a snapshot covers. Those after it stay only
// when the log agrees with the snapshot.
func (s *Store) rebase(snapshot *saddlewire.Snapshot) {
	index := snapshot.GetIndex()
	var kept []*saddlewire.LogEntry
	switch {
	case index == s.base && snapshot.GetTerm() == s.baseTerm:
		kept = s.entries
	case index > s.base && index <= s.base+uint64(len(s.entries)):
		if s.entries[index-s.base-1].GetTerm() == snapshot.GetTerm() {
			kept = append(kept, s.entries[index-s.base:]...)
		}
	}
	s.entries = kept
	s.base = index
	s.baseTerm = snapshot.GetTerm()
}
