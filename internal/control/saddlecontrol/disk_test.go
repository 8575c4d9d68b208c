package saddlecontrol_test

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// smallDisk is a disk that runs full when the test says so.
type smallDisk struct {
	saddlestore.FS
	full atomic.Bool
}

type smallFile struct {
	saddlestore.File
	disk *smallDisk
}

func (f smallFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (d *smallDisk) Create(name string) (saddlestore.File, error) {
	f, err := d.FS.Create(name)
	return smallFile{f, d}, err
}

func (d *smallDisk) Open(name string, size int64) (saddlestore.File, error) {
	f, err := d.FS.Open(name, size)
	return smallFile{f, d}, err
}

func put(request string, base uint64) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: "forms", Base: base, Body: "[deployment]\nmodels = [{name = \"m\"}]\n"},
	}}
}

// A disk that runs full ends the replica with an error that says so; what was
// being written is not acknowledged, and what was acknowledged comes back.
func TestFullDiskEndsTheReplicaAndAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	memory := saddledisk.New()
	disk := &smallDisk{FS: memory}
	cfg := config(t)
	cfg.Files = disk
	s, cleanup, err := saddlecontrol.New(time.Now(), cfg)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background()) }()
	client, closeClient := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = closeClient() }()
	result, err := client.Submit(patient(t), put("kept", 0))
	is.NoErr(err)
	is.True(result.GetAccepted())

	disk.full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err = client.Submit(ctx, put("lost", 1))
	var unknown *saddleclient.UnknownOutcomeError
	is.True(errors.As(err, &unknown)) // neither accepted nor "not run"
	is.True(errors.Is(<-ended, syscall.ENOSPC))
	is.NoErr(cleanup())

	cfg.Files = memory.Reboot(false, true)
	run(t, cfg)
	state, err := client.Read(patient(t))
	is.NoErr(err)
	is.Equal(state.GetTemplates()[0].GetRevision(), uint64(1))
}

// A replica that is told to stop ends although nodes attend, one of which reads
// nothing.
func TestReplicaStopsWhileNodesAttend(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = patience
	stop := run(t, cfg)
	for range 3 {
		stream := attend(t, cfg)
		is.NoErr(stream.Send(beat()))
	}
	client, closeClient := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = closeClient() }()
	_, err := client.Read(patient(t))
	is.NoErr(err)
	stop()
}
