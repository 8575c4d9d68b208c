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
	fileName = "identity.json"
	logName  = "log"
	// registryName is in no way part of the identity, but lives beside it.
	registryName = "registrations"
	dirPerm      = 0o700
	filePerm     = 0o600
)

// Identity is who a replica is in its group.
type Identity struct {
	ID      string            `json:"id"`
	Members map[string]string `json:"members"` // addresses of a new group's replicas, by id
	Join    bool              `json:"join"`    // it is not one of a new group
}

// Config says how an identity is made where there is none.
type Config struct {
	Dir       string
	Address   string   // the replica's
	Seeds     []string // addresses of the replicas of a new group
	Bootstrap bool     // the group starts for the first time
}

// Open returns the identity that a folder holds, or a new one, which is durable
// when it returns.
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
		// It was torn by a power loss before anything was done under it.
	} else if !errors.Is(err, fs.ErrNotExist) {
		return Identity{}, eris.Wrapf(err, "read %s", name)
	}
	return create(now, cfg)
}

// Renew drops what a folder holds, for a replica that must not go on under its
// identity, and returns a new one that joins the group.
func Renew(now time.Time, cfg Config) (Identity, error) {
	if err := os.RemoveAll(LogDir(cfg.Dir)); err != nil {
		return Identity{}, eris.Wrapf(err, "remove %s", LogDir(cfg.Dir))
	}
	cfg.Bootstrap = false
	return create(now, cfg)
}

// LogDir is the folder of the replica's log.
func LogDir(dir string) string { return filepath.Join(dir, logName) }

// RegistryFile is the file of the targets' registrations.
func RegistryFile(dir string) string { return filepath.Join(dir, registryName) }

func create(now time.Time, cfg Config) (Identity, error) {
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
	return id, write(cfg.Dir, id)
}

// write makes an identity durable.
func write(dir string, id Identity) error {
	text, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "encode the identity")
	}
	name := filepath.Join(dir, fileName)
	if err := writeFile(name+".new", text); err != nil {
		return err
	}
	if err := os.Rename(name+".new", name); err != nil {
		return eris.Wrapf(err, "rename to %s", name)
	}
	return syncFolder(dir)
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

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrapf(err, "open %s", dir)
	}
	return eris.Wrapf(errors.Join(d.Sync(), d.Close()), "sync %s", dir)
}
