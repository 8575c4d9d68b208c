package saddleregistry

import (
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const filePerm = 0o600

// All returns all registrations, for Save.
func (t *Table) All() *saddlewire.Update {
	out := &saddlewire.Update{}
	for _, rec := range t.records {
		out.Registrations = append(out.Registrations, rec.registration)
	}
	return out
}

// Restore stores the registrations that an earlier process saved, as if they had been
// received at now. Targets that no longer exist expire after the timeout.
func (t *Table) Restore(now time.Time, saved *saddlewire.Update) {
	for _, reg := range saved.GetRegistrations() {
		t.Put(now, reg)
	}
}

// Save replaces the file with the given registrations. Their content is synced before the
// rename, but the directory is not, so after a power failure the previous file may remain.
// A process that loads the registrations after a restart need not wait for all heartbeats;
// losing the file costs only that wait.
func Save(name string, saved *saddlewire.Update) error {
	data, err := proto.Marshal(saved)
	if err != nil {
		return eris.Wrap(err, "encode registrations")
	}
	file, err := os.OpenFile(name+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
	if err != nil {
		return eris.Wrapf(err, "create %s.new", name)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return eris.Wrapf(err, "write %s.new", name)
	}
	return eris.Wrapf(os.Rename(name+".new", name), "rename to %s", name)
}

// Load reads the registrations that Save wrote, nil when the file does not exist.
func Load(name string) (*saddlewire.Update, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", name)
	}
	saved := &saddlewire.Update{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return nil, eris.Wrapf(err, "decode %s", name)
	}
	return saved, nil
}
