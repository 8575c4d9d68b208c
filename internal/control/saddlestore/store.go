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

// SegmentBytes is the length in bytes after which a new segment is started.
const SegmentBytes = 8 << 20

// Store is the durable storage of a replica. It implements
// fireflysaddle.LogStore and is not safe for concurrent use.
type Store struct {
	fs            FS
	segmentLimit  int64  // bytes after which a new segment is started
	err           error  // first write error; all later writes fail with it
	unsynced      bool   // after an error, the current segment may still hold bytes that were not synced
	segmentNumber uint64 // number of the current segment
	file          File   // the current segment, open for appending
	size          int64  // bytes written to the current segment
	synced        int64  // bytes of the current segment known to be durable

	hard          *saddlewire.HardState
	snapshotIndex uint64 // last index that the snapshot covers
	snapshotTerm  uint64
	entries       []*saddlewire.LogEntry // log entries after the snapshot
}

// Loaded is the content of a store when it was opened.
type Loaded struct {
	Hard     *saddlewire.HardState
	Snapshot *saddlewire.Snapshot
	Entries  []*saddlewire.LogEntry
}

// Open opens the store in a data folder and creates the folder if needed. The
// returned function closes the files and releases the lock. If it fails, as it may on a full
// disk, the store is still open, and the function must be called again before the next Open.
// The error of Open is a *CorruptionError if synced data cannot be read, and an *InUseError if
// another process has the folder open.
func Open(dir string) (*Store, Loaded, func() error, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, Loaded{}, nil, eris.Wrapf(err, "create data folder %s", dir)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, Loaded{}, nil, err
	}
	s, loaded, closeFile, err := OpenFS(osDir{dir: dir}, SegmentBytes)
	if err != nil {
		_ = lock.Close()
		return nil, Loaded{}, nil, eris.Wrapf(err, "open data folder %s", dir)
	}
	cleanup := func() error {
		if err := closeFile(); err != nil {
			return err
		}
		_ = lock.Close()
		return nil
	}
	return s, loaded, cleanup, nil
}

// OpenFS opens the store on a file system that no other store uses. A new
// segment is started once the current one has segmentLimit bytes.
func OpenFS(fs FS, segmentLimit int64) (*Store, Loaded, func() error, error) {
	s := &Store{fs: fs, segmentLimit: segmentLimit}
	snapshot, err := s.load()
	if err != nil {
		if s.file != nil {
			_ = s.file.Close()
		}
		return nil, Loaded{}, nil, err
	}
	loaded := Loaded{Hard: s.hard, Snapshot: snapshot, Entries: append([]*saddlewire.LogEntry(nil), s.entries...)}
	return s, loaded, s.close, nil
}

// Append writes log entries. They replace all stored entries from the index of the
// first new entry on. The new entries are durable after the next Sync.
func (s *Store) Append(entries []*saddlewire.LogEntry) error {
	for _, e := range entries {
		s.mirrorEntry(e)
		if err := s.write(&saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Entry{Entry: e}}); err != nil {
			return err
		}
	}
	return nil
}

// SetHardState writes the term and vote. They are durable after the next Sync.
func (s *Store) SetHardState(hard *saddlewire.HardState) error {
	s.hard = hard
	return s.write(&saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Hard{Hard: hard}})
}

// SetSnapshot stores a snapshot and compacts the log up to its index. Both changes
// are durable when it returns without an error.
func (s *Store) SetSnapshot(snapshot *saddlewire.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.setSnapshot(snapshot))
}

func (s *Store) setSnapshot(snapshot *saddlewire.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := s.writeFileAtomic(snapshotName, [][]byte{data}); err != nil {
		return err
	}
	s.compact(snapshot)
	return s.startCheckpointSegment()
}

// Sync makes all earlier writes durable.
func (s *Store) Sync() error {
	if s.err != nil {
		return s.err
	}
	if err := s.file.Sync(); err != nil {
		return s.recordError(eris.Wrapf(err, "sync %s", segmentName(s.segmentNumber)))
	}
	s.synced = s.size
	if s.size < s.segmentLimit {
		return nil
	}
	return s.recordError(s.startSegment())
}

// recordError stores err if it is the store's first error, and returns err. After an
// error, no writes are accepted, because the state of the file is unknown.
func (s *Store) recordError(err error) error {
	if err != nil && s.err == nil {
		s.err = err
		s.unsynced = true
		_ = s.discardUnsynced() // close tries again
	}
	return err
}

// discardUnsynced removes the bytes that were written after the last sync. After a failed write
// or sync they may not be on the disk, but could still be read, and a later sync would succeed
// without writing them. Nobody relies on them yet.
func (s *Store) discardUnsynced() error {
	name := segmentName(s.segmentNumber)
	file, err := s.fs.Open(name, s.synced)
	if err != nil {
		return eris.Wrapf(err, "truncate %s", name)
	}
	s.unsynced = false
	return file.Close()
}

// close closes the current segment. It fails while the disk refuses to discard bytes after a
// failed write.
func (s *Store) close() error {
	if s.unsynced {
		if err := s.discardUnsynced(); err != nil {
			return err
		}
	}
	_ = s.file.Close() // nothing is lost by an error, because all that counts was synced
	return nil
}

// mirrorEntry adds an entry to the copy of the log in memory, which the next
// checkpoint segment is written from. It replaces all entries from its index on.
// Entries that the snapshot covers are ignored.
func (s *Store) mirrorEntry(e *saddlewire.LogEntry) {
	if e.GetIndex() <= s.snapshotIndex {
		return
	}
	if i := e.GetIndex() - s.snapshotIndex - 1; i < uint64(len(s.entries)) {
		s.entries = s.entries[:i:i]
	}
	s.entries = append(s.entries, e)
}

func (s *Store) write(rec *saddlewire.StoreRecord) error {
	if s.err != nil {
		return s.err
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return s.recordError(eris.Wrap(err, "encode log record"))
	}
	record := encodeRecord(payload, s.synced)
	if _, err := s.file.Write(record); err != nil {
		return s.recordError(eris.Wrapf(err, "write %s", segmentName(s.segmentNumber)))
	}
	s.size += int64(len(record))
	return nil
}

// compact removes the entries that a snapshot covers. Later entries are retained
// only if the entry at the index of the snapshot has the term of the snapshot;
// otherwise they conflict with it.
func (s *Store) compact(snapshot *saddlewire.Snapshot) {
	index := snapshot.GetIndex()
	var remaining []*saddlewire.LogEntry
	switch {
	case index == s.snapshotIndex && snapshot.GetTerm() == s.snapshotTerm:
		remaining = s.entries
	case index > s.snapshotIndex && index <= s.snapshotIndex+uint64(len(s.entries)):
		if s.entries[index-s.snapshotIndex-1].GetTerm() == snapshot.GetTerm() {
			remaining = append(remaining, s.entries[index-s.snapshotIndex:]...)
		}
	}
	s.entries = remaining
	s.snapshotIndex = index
	s.snapshotTerm = snapshot.GetTerm()
}
