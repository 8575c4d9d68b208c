package saddleidentity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	fileName   = "identity.json"
	logDirName = "log"
	// registryFileName is not part of the identity; the file is stored in the same directory.
	registryFileName = "registrations"
	dirPerm          = 0o700
	filePerm         = 0o600
)

// Identity identifies a replica within its group.
type Identity struct {
	ID      string            `json:"id"`
	Members map[string]string `json:"members"` // addresses of the replicas of a new group, by id
	Join    bool              `json:"join"`    // the replica joins an existing group
}

// Config describes how to create an identity where none is stored.
type Config struct {
	Dir       string
	Address   string   // drpc address of the replica
	Seeds     []string // addresses of the replicas of a new group
	Bootstrap bool     // the replicas at Seeds form a new group
}

// Open returns the identity stored in cfg.Dir. If there is none, Open creates one there.
// The identity is durable when Open returns.
func Open(now time.Time, cfg Config) (Identity, error) {
	if err := os.MkdirAll(cfg.Dir, dirPerm); err != nil {
		return Identity{}, eris.Wrapf(err, "create %s", cfg.Dir)
	}
	name := filepath.Join(cfg.Dir, fileName)
	text, err := os.ReadFile(name)
	if err == nil {
		var id Identity
		if json.Unmarshal(text, &id) == nil && id.ID != "" {
			return id, nil
		}
		// A power failure left the file incomplete. The identity in the file was never
		// used, because an identity is used only after its file is durable. The file can
		// therefore be replaced.
	} else if !errors.Is(err, fs.ErrNotExist) {
		return Identity{}, eris.Wrapf(err, "read %s", name)
	}
	return createIdentity(now, cfg)
}

// Renew removes the log of a replica that must not continue under its identity. It stores
// and returns a new identity, under which the replica joins the group.
func Renew(now time.Time, cfg Config) (Identity, error) {
	if err := os.RemoveAll(LogDir(cfg.Dir)); err != nil {
		return Identity{}, eris.Wrapf(err, "remove %s", LogDir(cfg.Dir))
	}
	cfg.Bootstrap = false
	return createIdentity(now, cfg)
}

// LogDir returns the directory of the replica's log.
func LogDir(dir string) string { return filepath.Join(dir, logDirName) }

// RegistryFile returns the path of the file with the registrations of the targets.
func RegistryFile(dir string) string { return filepath.Join(dir, registryFileName) }

// createIdentity stores and returns a new identity. In a bootstrap the id is the address
// of the replica. Otherwise the id also holds the creation time, because an earlier
// replica at this address may have voted.
func createIdentity(now time.Time, cfg Config) (Identity, error) {
	id := Identity{ID: fmt.Sprintf("%s#%d", cfg.Address, now.UnixNano()), Join: true}
	if cfg.Bootstrap {
		id = Identity{ID: cfg.Address, Members: map[string]string{}}
		for _, s := range cfg.Seeds {
			id.Members[s] = s
		}
		if _, ok := id.Members[cfg.Address]; !ok {
			id = Identity{ID: cfg.Address, Join: true}
		}
	}
	return id, writeIdentity(cfg.Dir, id)
}

// writeIdentity stores an identity durably.
func writeIdentity(dir string, id Identity) error {
	text, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	name := filepath.Join(dir, fileName)
	if err := writeFile(name+".new", text); err != nil {
		return err
	}
	if err := os.Rename(name+".new", name); err != nil {
		return eris.Wrapf(err, "rename to %s", name)
	}
	return syncDir(dir)
}

func writeFile(name string, text []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	return eris.Wrapf(errors.Join(err, file.Close()), "write %s", name)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrapf(err, "open %s", dir)
	}
	return eris.Wrapf(errors.Join(d.Sync(), d.Close()), "sync %s", dir)
}
