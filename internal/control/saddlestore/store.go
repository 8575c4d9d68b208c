package saddlestore

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	filePerm     = 0o600
	dirPerm      = 0o700
)

// Store is a replica's files. It is used by one goroutine and implements
// fireflysaddle.LogStore.
type Store struct {
	dir  string
	file *os.File
	err  error // first write error; the store takes no writes after it

	hard    *saddlewire.HardState
	entries []*saddlewire.LogEntry
	base    uint64
}

// Loaded is what a store held when it was opened.
type Loaded struct {
	Hard     *saddlewire.HardState
	Snapshot *saddlewire.Snapshot
	Entries  []*saddlewire.LogEntry
}

// Open reads the data folder, creating it where needed. The returned clean-up
// closes the files. Damage is a *DamageError.
func Open(dir string) (*Store, Loaded, func() error, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, Loaded{}, nil, eris.Wrapf(err, "create data folder %s", dir)
	}
	s := &Store{dir: dir}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return nil, Loaded{}, nil, err
	}
	s.base = snapshot.GetIndex()
	if err := s.readLog(); err != nil {
		return nil, Loaded{}, nil, err
	}
	loaded := Loaded{Hard: s.hard, Snapshot: snapshot, Entries: append([]*saddlewire.LogEntry(nil), s.entries...)}
	return s, loaded, s.file.Close, nil
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

// SetHard records the term and vote.
func (s *Store) SetHard(hard *saddlewire.HardState) error {
	s.hard = hard
	return s.write(&saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Hard{Hard: hard}})
}

// SetSnapshot replaces the log up to the snapshot's index. It is durable when
// it returns.
func (s *Store) SetSnapshot(snapshot *saddlewire.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := s.replaceFile(snapshotName, encodeRecord(data)); err != nil {
		s.err = err
		return err
	}
	return s.rewriteLog(snapshot)
}

// Sync makes all that came before durable.
func (s *Store) Sync() error {
	if s.err != nil {
		return s.err
	}
	if err := s.file.Sync(); err != nil {
		s.err = eris.Wrapf(err, "sync %s", s.file.Name())
		return s.err
	}
	return nil
}

// keep mirrors an entry in memory, for the next rewrite of the log.
func (s *Store) keep(e *saddlewire.LogEntry) {
	if e.GetIndex() <= s.base {
		return
	}
	if at := e.GetIndex() - s.base - 1; at < uint64(len(s.entries)) {
		s.entries = s.entries[:at]
	}
	s.entries = append(s.entries, e)
}

func (s *Store) write(rec *saddlewire.StoreRecord) error {
	if s.err != nil {
		return s.err
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "encode log record")
	}
	if _, err := s.file.Write(encodeRecord(payload)); err != nil {
		s.err = eris.Wrapf(err, "write %s", s.file.Name())
		return s.err
	}
	return nil
}

func (s *Store) readSnapshot() (*saddlewire.Snapshot, error) {
	name := filepath.Join(s.dir, snapshotName)
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return &saddlewire.Snapshot{}, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", name)
	}
	payloads, _, err := decodeRecords(name, data)
	if err != nil {
		return nil, err
	}
	if len(payloads) != 1 {
		return nil, &DamageError{File: name, Reason: "no whole snapshot"}
	}
	snapshot := &saddlewire.Snapshot{}
	if err := proto.Unmarshal(payloads[0], snapshot); err != nil {
		return nil, &DamageError{File: name, Reason: err.Error()}
	}
	return snapshot, nil
}

func (s *Store) readLog() error {
	name := filepath.Join(s.dir, logName)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	payloads, sound, err := decodeRecords(name, data)
	if err != nil {
		return err
	}
	for _, p := range payloads {
		if err := s.replay(name, p); err != nil {
			return err
		}
	}
	if err := file.Truncate(sound); err != nil {
		return eris.Wrapf(err, "cut %s", name)
	}
	if _, err := file.Seek(sound, 0); err != nil {
		return eris.Wrapf(err, "seek in %s", name)
	}
	s.file = file
	return syncDir(s.dir)
}

func (s *Store) replay(name string, payload []byte) error {
	rec := &saddlewire.StoreRecord{}
	if err := proto.Unmarshal(payload, rec); err != nil {
		return &DamageError{File: name, Reason: err.Error()}
	}
	if hard := rec.GetHard(); hard != nil {
		s.hard = hard
	}
	e := rec.GetEntry()
	if e == nil {
		return nil
	}
	if e.GetIndex() > s.base+uint64(len(s.entries))+1 {
		return &DamageError{File: name, Reason: "entries are missing"}
	}
	s.keep(e)
	return nil
}

// rewriteLog drops the entries that a snapshot covers. Those after it stay
// only when the log agrees with the snapshot.
func (s *Store) rewriteLog(snapshot *saddlewire.Snapshot) error {
	s.entries = s.entriesAfter(snapshot)
	s.base = snapshot.GetIndex()
	var buf []byte
	records := []*saddlewire.StoreRecord{{Record: &saddlewire.StoreRecord_Hard{Hard: s.hard}}}
	for _, e := range s.entries {
		records = append(records, &saddlewire.StoreRecord{Record: &saddlewire.StoreRecord_Entry{Entry: e}})
	}
	for _, rec := range records {
		payload, err := proto.Marshal(rec)
		if err != nil {
			return eris.Wrap(err, "encode log record")
		}
		buf = append(buf, encodeRecord(payload)...)
	}
	if err := s.replaceFile(logName, buf); err != nil {
		s.err = err
		return err
	}
	return s.reopen()
}

func (s *Store) entriesAfter(snapshot *saddlewire.Snapshot) []*saddlewire.LogEntry {
	index := snapshot.GetIndex()
	if index <= s.base || index > s.base+uint64(len(s.entries)) {
		return nil
	}
	if s.entries[index-s.base-1].GetTerm() != snapshot.GetTerm() {
		return nil
	}
	return append([]*saddlewire.LogEntry(nil), s.entries[index-s.base:]...)
}

func (s *Store) reopen() error {
	if err := s.file.Close(); err != nil {
		return eris.Wrap(err, "close old log")
	}
	name := filepath.Join(s.dir, logName)
	file, err := os.OpenFile(name, os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		s.err = eris.Wrapf(err, "open %s", name)
		return s.err
	}
	s.file = file
	return nil
}

// replaceFile writes a new file, syncs it and renames it over the old one.
func (s *Store) replaceFile(name string, data []byte) error {
	path := filepath.Join(s.dir, name)
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
	if err != nil {
		return eris.Wrapf(err, "create %s", tmp)
	}
	if _, err := f.Write(data); err != nil {
		return eris.Wrapf(err, "write %s", tmp)
	}
	if err := f.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", tmp)
	}
	if err := f.Close(); err != nil {
		return eris.Wrapf(err, "close %s", tmp)
	}
	if err := os.Rename(tmp, path); err != nil {
		return eris.Wrapf(err, "rename %s", tmp)
	}
	return syncDir(s.dir)
}

// syncDir makes renames and new files in a folder durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrapf(err, "open %s", dir)
	}
	if err := d.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", dir)
	}
	return d.Close()
}
