package saddlecontrol_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// limitedDisk is a disk on which writes fail with ENOSPC while full is set.
type limitedDisk struct {
	saddlestore.FS
	full atomic.Bool
}

type limitedFile struct {
	saddlestore.File
	disk *limitedDisk
}

func (f limitedFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (d *limitedDisk) Create(name string) (saddlestore.File, error) {
	f, err := d.FS.Create(name)
	return limitedFile{f, d}, err
}

func (d *limitedDisk) Open(name string, size int64) (saddlestore.File, error) {
	f, err := d.FS.Open(name, size)
	return limitedFile{f, d}, err
}

func putTemplate(request string, base uint64) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: "forms", Base: base, Body: "[deployment]\nmodels = [{name = \"m\"}]\n"},
	}}
}

// When the disk runs full, the replica stops with ENOSPC and does not acknowledge the
// command that it was writing. Acknowledged commands are restored after a restart.
func TestFullDiskStopsReplicaWithoutAcknowledging(t *testing.T) {
	is := is.New(t)
	memory := saddledisk.New()
	disk := &limitedDisk{FS: memory}
	cfg := config(t)
	cfg.Files = disk
	s, cleanup, err := saddlecontrol.New(time.Now(), cfg)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background()) }()
	client, closeClient := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = closeClient() }()
	result, err := client.Submit(waitContext(t), putTemplate("kept", 0))
	is.NoErr(err)
	is.True(result.GetAccepted())

	disk.full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = client.Submit(ctx, putTemplate("lost", 1))
	var unknown *saddleclient.UnknownOutcomeError
	is.True(errors.As(err, &unknown)) // neither accepted nor refused
	is.True(errors.Is(<-ended, syscall.ENOSPC))
	is.NoErr(cleanup())

	cfg.Files = memory.Reboot(false, true)
	run(t, cfg)
	state, err := client.Read(waitContext(t))
	is.NoErr(err)
	is.Equal(state.GetTemplates()[0].GetRevision(), uint64(1))
}

// A replica stops on request even if clients hold Attend streams open and do not read
// from them.
func TestReplicaStopsWithOpenAttendStreams(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = waitTimeout
	stop := run(t, cfg)
	for range 3 {
		stream := openAttendStream(t, cfg)
		is.NoErr(stream.Send(heartbeat()))
	}
	client, closeClient := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = closeClient() }()
	_, err := client.Read(waitContext(t))
	is.NoErr(err)
	stop()
}

// A disk that refuses the registry file does not stop the replica, and the registrations are
// saved once there is room.
func TestRegistrationsAreSavedOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.RegistryFile = filepath.Join(t.TempDir(), "registrations")
	cfg.UnregisterTimeout = waitTimeout
	refused := cfg.RegistryFile + ".new"
	is.NoErr(os.Mkdir(refused, 0o700)) // no file of this name can be created
	s, _ := runServer(t, cfg)
	is.NoErr(s.Register(waitContext(t), &saddlewire.Registration{Id: "target-1", Group: "group", Address: "127.0.0.1:1", Incarnation: 1}))
	time.Sleep(1500 * time.Millisecond) // at least one attempt to save them
	_, err := os.Stat(cfg.RegistryFile)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.Remove(refused))
	saddleprocess.Await(t, "the registrations to be saved", waitTimeout, func() error {
		saved, err := saddleregistry.Load(cfg.RegistryFile)
		if err == nil && len(saved.GetRegistrations()) != 1 {
			return errors.New("they are not saved")
		}
		return err
	})
}
