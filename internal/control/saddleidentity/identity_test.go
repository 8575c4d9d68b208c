package saddleidentity_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleidentity"
)

var start = time.Unix(1_800_000_000, 0)

func config(dir string, bootstrap bool) saddleidentity.Config {
	return saddleidentity.Config{Dir: dir, Address: "10.0.0.1:7", Seeds: []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}, Bootstrap: bootstrap}
}

func TestBootstrapFormsGroupFromSeeds(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	id, err := saddleidentity.Open(start, config(dir, true))
	is.NoErr(err)
	is.Equal(id.ID, "10.0.0.1:7")
	is.True(!id.Join)
	is.Equal(len(id.Members), 3)
	again, err := saddleidentity.Open(start.Add(time.Hour), config(dir, false)) // restarted before it stored any log entry
	is.NoErr(err)
	is.Equal(again, id)
}

func TestEmptyDiskGetsNewIdentity(t *testing.T) {
	is := is.New(t)
	id, err := saddleidentity.Open(start, config(t.TempDir(), false))
	is.NoErr(err)
	is.True(id.Join)
	is.True(id.ID != "10.0.0.1:7") // the replica that had that id may have voted
	other, err := saddleidentity.Open(start.Add(time.Second), config(t.TempDir(), false))
	is.NoErr(err)
	is.True(other.ID != id.ID)
}

func TestReplicaOutsideSeedsJoins(t *testing.T) {
	is := is.New(t)
	cfg := config(t.TempDir(), true)
	cfg.Address = "10.0.0.9:7"
	id, err := saddleidentity.Open(start, cfg)
	is.NoErr(err)
	is.True(id.Join)
}

func TestTornIdentityIsReplaced(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "identity.json"), []byte(`{"id":"10.0`), 0o600))
	id, err := saddleidentity.Open(start, config(dir, false))
	is.NoErr(err)
	is.True(id.Join)
}

func TestRenewRemovesLog(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, err := saddleidentity.Open(start, config(dir, true))
	is.NoErr(err)
	is.NoErr(os.MkdirAll(saddleidentity.LogDir(dir), 0o700))
	is.NoErr(os.WriteFile(filepath.Join(saddleidentity.LogDir(dir), "x"), nil, 0o600))
	next, err := saddleidentity.Renew(start, config(dir, true))
	is.NoErr(err)
	is.True(next.Join && next.ID != first.ID)
	_, err = os.Stat(saddleidentity.LogDir(dir))
	is.True(os.IsNotExist(err))
}

func TestUnwritableDirectoryIsReported(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	_, err := saddleidentity.Open(start, config(filepath.Join(file, "data"), true))
	is.True(err != nil)
}

// A disk that refuses a new identity leaves the old one in place, so that the renewal is repeated
// until there is room.
func TestRefusedIdentityIsRenewedOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, err := saddleidentity.Open(start, config(dir, true))
	is.NoErr(err)
	refused := filepath.Join(dir, "identity.json.new")
	is.NoErr(os.Mkdir(refused, 0o700)) // no file of this name can be created
	for range 2 {
		_, err = saddleidentity.Renew(start, config(dir, false))
		is.True(err != nil)
		again, err := saddleidentity.Open(start, config(dir, false))
		is.NoErr(err)
		is.Equal(again, first)
	}
	is.NoErr(os.Remove(refused))
	next, err := saddleidentity.Renew(start, config(dir, false))
	is.NoErr(err)
	is.True(next.Join && next.ID != first.ID)
}

// A disk that refuses the first identity does not keep the replica from getting one once there is
// room.
func TestFirstIdentityIsStoredOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	refused := filepath.Join(dir, "identity.json.new")
	is.NoErr(os.Mkdir(refused, 0o700)) // no file of this name can be created
	_, err := saddleidentity.Open(start, config(dir, true))
	is.True(err != nil)
	is.NoErr(os.Remove(refused))
	id, err := saddleidentity.Open(start, config(dir, true))
	is.NoErr(err)
	is.Equal(len(id.Members), 3)
}
