package saddledaemon

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	controlBeat    = 500 * time.Millisecond // between heartbeats of a control replica
	controlSilence = 2 * time.Second        // a replica silent for longer is dialled anew
)

// newControlAttendant returns an attendant that makes a control replica a
// member like every other process: operators see what is in force there and
// find its admin listener.
func newControlAttendant(settings saddlesettings.Control, p *process, controls []string) *saddlesubscriber.Subscriber {
	var a *saddlesubscriber.Subscriber
	cfg := saddlesubscriber.Config{
		Controls:              controls,
		HeartbeatInterval:     controlBeat,
		ControlSilenceTimeout: controlSilence,
		Timeline:              p.timeline,
		Network:               p.network,
		Member: func() *saddlewire.Member {
			view := a.View()
			return &saddlewire.Member{
				Node:        settings.Node,
				Role:        string(fireflysaddle.RoleControl),
				Incarnation: uint64(p.incarnation),
				Centre:      settings.Centre,
				Address:     settings.Listen,
				Admin:       settings.Admin,
				Revision:    view.Revision,
				Confirmed:   view.Confirmed,
			}
		},
	}
	a = saddlesubscriber.New(cfg, nil)
	return a
}
