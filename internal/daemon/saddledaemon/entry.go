package saddledaemon

import (
	"context"
	"io"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleentry"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
)

// RunEntry runs an entry until the context ends and the requests in progress have
// finished.
func RunEntry(ctx context.Context, settings saddlesettings.Entry, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, settings.Digest(), fireflysaddle.RoleEntry, logs)
	if err != nil {
		return err
	}
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node:                  fireflysaddle.NodeID(settings.Node),
		Incarnation:           p.incarnation,
		Centre:                fireflysaddle.DataCentre(settings.Centre),
		Listen:                settings.Listen,
		Admin:                 settings.Admin,
		Settings:              settings.Digest(),
		Controls:              settings.Attend.Controls,
		HeartbeatInterval:     settings.Attend.HeartbeatInterval.Std(),
		ControlSilenceTimeout: settings.Attend.ControlSilenceTimeout.Std(),
		CallSilenceTimeout:    settings.CallSilenceTimeout.Std(),
		BodyLimit:             settings.BodyLimit,
		MaxTimeout:            settings.MaxTimeout.Std(),
		LameDuck:              settings.LameDuck.Std(),
		ShutdownTimeout:       settings.ShutdownTimeout.Std(),
		Seed:                  uint64(p.incarnation),
		Log:                   p.log,
		Timeline:              p.timeline,
		Network:               p.network,
		CallerNetwork:         saddlelink.TCP{},
	})
	if err != nil {
		return err
	}
	defer func() { _ = cleanup() }()
	return p.serve(ctx, s.Ready, func(stop <-chan struct{}) error {
		return s.Run(context.Background(), stop)
	})
}
