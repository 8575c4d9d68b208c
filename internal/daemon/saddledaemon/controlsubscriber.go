package saddledaemon

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	controlHeartbeatInterval = 500 * time.Millisecond // between heartbeats of a control process
	controlSilenceTimeout    = 2 * time.Second        // time without a message from a replica after which it is redialled
)

// newControlSubscriber returns a subscriber that registers a control process as a
// member of the fleet, so that operators see which revision is in force on the process and
// find its admin listener. load returns what its heartbeats say of its load; it may be nil.
func newControlSubscriber(settings saddlesettings.Control, p *process, controls []string, load func() *saddlewire.Load) *saddlesubscriber.Subscriber {
	var s *saddlesubscriber.Subscriber
	cfg := saddlesubscriber.Config{
		Controls:              controls,
		HeartbeatInterval:     controlHeartbeatInterval,
		ControlSilenceTimeout: controlSilenceTimeout,
		Timeline:              p.timeline,
		Network:               p.network,
		Log:                   p.log,
		Member: p.withSettings(func() *saddlewire.Member {
			view := s.View()
			m := &saddlewire.Member{
				Node:        settings.Node,
				Role:        string(fireflysaddle.RoleControl),
				Incarnation: uint64(p.incarnation),
				Centre:      settings.Centre,
				Address:     settings.Listen,
				Admin:       settings.Admin,
				Revision:    view.Revision,
				Confirmed:   view.Confirmed,
			}
			if load != nil {
				m.Load = load()
			}
			return m
		}),
	}
	s = saddlesubscriber.New(cfg, nil)
	return s
}
