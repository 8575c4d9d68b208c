package saddledaemon

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// process holds what the daemons of all roles share.
type process struct {
	settings    saddlesettings.Common
	incarnation fireflysaddle.Incarnation
	log         zerolog.Logger
	timeline    *saddletimeline.Ring
	network     fireflysaddle.Network // connections between processes of the fleet
	inForce     atomic.Pointer[settingsInForce]
}

// settingsInForce identifies the settings that a process uses.
type settingsInForce struct {
	digest string
	since  time.Time
}

// newProcess returns the process of a role. digest identifies its settings.
func newProcess(now time.Time, settings saddlesettings.Common, digest string, role fireflysaddle.Role, logs io.Writer) (*process, error) {
	log, err := newLogger(settings.Log, logs)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings:    settings,
		incarnation: fireflysaddle.Incarnation(now.UnixNano()),
		timeline:    saddletimeline.NewRing(settings.Node, settings.TimelineCapacity),
	}
	p.setSettings(now, digest)
	p.network, err = newNetwork(settings.TLS)
	if err != nil {
		return nil, err
	}
	p.log = log.With().Str("node", settings.Node).Str("role", string(role)).Uint64("incarnation", uint64(p.incarnation)).Logger()
	return p, nil
}

// setSettings records which settings the process uses from now on.
func (p *process) setSettings(now time.Time, digest string) {
	p.inForce.Store(&settingsInForce{digest: digest, since: now})
	publishedSettings.Set(digest)
}

// withSettings returns a function that returns the member with the settings in force, for
// heartbeats.
func (p *process) withSettings(member func() *saddlewire.Member) func() *saddlewire.Member {
	return func() *saddlewire.Member {
		m := member()
		inForce := p.inForce.Load()
		m.Settings = inForce.digest
		m.SettingsNs = inForce.since.UnixNano()
		return m
	}
}

func newNetwork(settings saddlesettings.TLS) (fireflysaddle.Network, error) {
	if !settings.Enabled() {
		return saddlelink.TCP{}, nil
	}
	return saddlelink.NewTLS(settings.Cert, settings.Key, settings.Authority)
}

func newLogger(settings saddlesettings.Log, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		return zerolog.Nop(), err
	}
	if settings.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

// serve runs the role and its admin listener. When the context ends, it closes the stop
// channel of serveRole and returns after serveRole has finished.
func (p *process) serve(ctx context.Context, ready func() error, serveRole func(stop <-chan struct{}) error) error {
	keys, err := saddleadmin.LoadKeys(p.settings.AdminKeys)
	if err != nil {
		return err
	}
	if keys == nil {
		p.log.Warn().Str("admin", p.settings.Admin).Msg("admin_keys is not set: the admin listener accepts unauthenticated requests")
	}
	if !p.settings.TLS.Enabled() {
		p.log.Warn().Msg("tls is not set: connections between processes of the fleet are neither encrypted nor authenticated")
	}
	admin, closeAdmin, err := saddleadmin.New(p.settings.Admin, keys, ready, p.timeline)
	if err != nil {
		return err
	}
	defer func() { _ = closeAdmin() }()
	p.timeline.Add(time.Now(), saddletimeline.Event{Name: "start"})
	p.log.Info().Str("settings", p.inForce.Load().digest).Msg("started")
	stop := make(chan struct{})
	adminCtx, stopAdmin := context.WithCancel(context.Background())
	var g run.Group
	g.Add(func() error { return serveRole(stop) }, func(error) {})
	g.Add(func() error { return admin.Run(adminCtx) }, func(error) { stopAdmin() })
	stopped := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			close(stop)
			<-stopped // keeps the admin listener open while the role finishes its work in progress
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	err = g.Run()
	p.log.Info().AnErr("error", err).Msg("stopped")
	return err
}
