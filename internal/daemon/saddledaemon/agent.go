package saddledaemon

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleagent"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
)

// RunAgent runs an agent until the context ends and its work in progress has finished.
func RunAgent(ctx context.Context, settings saddlesettings.Agent, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, settings.Digest(), fireflysaddle.RoleAgent, logs)
	if err != nil {
		return err
	}
	s, cleanup, err := saddleagent.New(saddleagent.Config{
		Node:              fireflysaddle.NodeID(settings.Node),
		Incarnation:       p.incarnation,
		Centre:            fireflysaddle.DataCentre(settings.Centre),
		Listen:            settings.Listen,
		Advertise:         cmp.Or(settings.Advertise, settings.Listen),
		AnnounceAddress:   settings.Announce,
		Admin:             settings.Admin,
		Settings:          settings.Digest(),
		Controls:          settings.Attend.Controls,
		HeartbeatInterval: settings.Attend.HeartbeatInterval.Std(),
		SilenceTimeout:    settings.Attend.ControlSilenceTimeout.Std(),
		ProbeInterval:     settings.ProbeInterval.Std(),
		TargetLostTimeout: settings.TargetLostTimeout.Std(),
		StepTimeout:       settings.StepTimeout.Std(),
		MaxQueueWait:      settings.MaxQueueWait.Std(),
		ShutdownTimeout:   settings.ShutdownTimeout.Std(),
		Log:               p.log,
		Timeline:          p.timeline,
		Network:           p.network,
		TargetNetwork:     saddlelink.TCP{},
	})
	if err != nil {
		return err
	}
	defer func() { _ = cleanup() }()
	return p.serve(ctx, s.Ready, func(stop <-chan struct{}) error {
		return s.Run(context.Background(), stop)
	})
}
