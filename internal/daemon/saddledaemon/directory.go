package saddledaemon

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddledirectory"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// directory is a control process on a VM without a disk: it sends callers to the
// replicas.
type directory struct {
	process   *process
	settings  saddlesettings.Control
	attendant *saddlesubscriber.Subscriber

	mu     sync.Mutex
	learnt []string // addresses of replicas that attended here, the latest last
}

// maxLearnt bounds the replicas that a directory remembers: a group has no more.
const maxLearnt = 12

func runDirectory(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	p.log.Info().Strs("contacts", settings.Group.Addresses()).Msg("no data folder: callers are sent to the replicas")
	d := &directory{process: p, settings: settings}
	d.attendant = newControlAttendant(settings, p, settings.Group.Addresses())
	return p.serve(ctx, d.ready, func(stop <-chan struct{}) error {
		runCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-stop:
				cancel()
			case <-runCtx.Done():
			}
		}()
		d.run(runCtx)
		return nil
	})
}

func (d *directory) ready() error {
	if len(d.replicas()) == 0 {
		return eris.New("no replica is known")
	}
	return nil
}

func (d *directory) run(ctx context.Context) {
	server := saddledirectory.New(saddledirectory.Config{
		Listen: d.settings.Listen, NodeSilenceTimeout: d.settings.NodeSilenceTimeout.Std(), Network: d.process.network,
		Replicas: d.replicas, AddReplica: d.learn, Log: d.process.log,
	})
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.attendant.Run(ctx) })
	wg.Go(func() { server.Run(ctx) })
	if d.settings.API != "" {
		keepServing(ctx, d.process.log, d.settings.API, platform.NewRedirect(d.api, d.process.log))
	}
	wg.Wait()
}

// learn takes in the address of a replica that attends here.
func (d *directory) learn(address string) {
	if address == d.settings.Listen {
		return
	}
	d.mu.Lock()
	if !slices.Contains(d.learnt, address) {
		d.learnt = append(d.learnt, address)
		d.learnt = d.learnt[max(0, len(d.learnt)-maxLearnt):]
	}
	d.mu.Unlock()
	if !d.attendant.View().Confirmed {
		d.attendant.AddReplicas([]string{address})
	}
}

// replicas returns the replicas that hold the newest configuration, else those that
// attended here.
func (d *directory) replicas() []string {
	if known := d.attendant.View().RoutingSources; len(known) > 0 {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.learnt)
}

// api returns the address of a replica's API, empty when none is known. All replicas
// serve it on the same port.
func (d *directory) api() string {
	known := d.replicas()
	if len(known) == 0 {
		return ""
	}
	_, port, err := net.SplitHostPort(d.settings.API)
	if err != nil {
		return "" // checked with the settings
	}
	next := known[int(time.Now().UnixNano()/int64(time.Millisecond))%len(known)]
	host, _, err := net.SplitHostPort(next)
	if err != nil {
		d.process.log.Warn().Err(err).Str("replica", next).Msg("replica's address cannot be read")
		return ""
	}
	return net.JoinHostPort(host, port)
}
