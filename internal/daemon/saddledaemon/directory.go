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

// directory is a control process on a VM without a disk. It refers callers to the
// control replicas.
type directory struct {
	process    *process
	settings   saddlesettings.Control
	subscriber *saddlesubscriber.Subscriber

	mu                 sync.Mutex
	subscribedReplicas []string // addresses of replicas that opened an Attend stream here, oldest first
}

// maxSubscribedReplicas limits the number of addresses that a directory remembers. A group
// has at most this many replicas.
const maxSubscribedReplicas = 12

func runDirectory(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, settings.Digest(), fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	p.log.Info().Strs("contacts", settings.Group.Addresses()).Msg("no data folder is set: referring callers to the control replicas")
	d := &directory{process: p, settings: settings}
	d.subscriber = newControlSubscriber(settings, p, settings.Group.Addresses(), nil)
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
	if len(d.replicaAddresses()) == 0 {
		return eris.New("no control replica is known")
	}
	return nil
}

func (d *directory) run(ctx context.Context) {
	server := saddledirectory.New(saddledirectory.Config{
		Listen: d.settings.Listen, NodeSilenceTimeout: d.settings.NodeSilenceTimeout.Std(), Network: d.process.network,
		Replicas: d.replicaAddresses, AddReplica: d.addReplica, Log: d.process.log,
	})
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.subscriber.Run(ctx) })
	wg.Go(func() { server.Run(ctx) })
	if d.settings.API != "" {
		serveWithRetry(ctx, d.process.log, d.settings.API, platform.NewRedirect(d.replicaAPIAddress, d.process.log))
	}
	wg.Wait()
}

// addReplica records the address of a replica that opened an Attend stream. Until the
// view is confirmed, the directory subscribes to that replica as well.
func (d *directory) addReplica(address string) {
	if address == d.settings.Listen {
		return
	}
	d.mu.Lock()
	if !slices.Contains(d.subscribedReplicas, address) {
		d.subscribedReplicas = append(d.subscribedReplicas, address)
		d.subscribedReplicas = d.subscribedReplicas[max(0, len(d.subscribedReplicas)-maxSubscribedReplicas):]
	}
	d.mu.Unlock()
	if !d.subscriber.View().Confirmed {
		d.subscriber.AddReplicas([]string{address})
	}
}

// replicaAddresses returns the addresses of the replicas that hold the newest routing
// configuration. If no such replica is known, it returns the addresses of the replicas that
// opened an Attend stream to this process.
func (d *directory) replicaAddresses() []string {
	if sources := d.subscriber.View().RoutingSources; len(sources) > 0 {
		return sources
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.subscribedReplicas)
}

// replicaAPIAddress returns the address of a replica's API, or "" if no replica is known.
// All replicas serve the API on the same port. The replica is chosen by the clock, so that
// callers are spread over all of them.
func (d *directory) replicaAPIAddress() string {
	replicas := d.replicaAddresses()
	if len(replicas) == 0 {
		return ""
	}
	_, port, err := net.SplitHostPort(d.settings.API)
	if err != nil {
		return "" // unreachable: the settings check rejects such an address
	}
	replica := replicas[int(time.Now().UnixNano()/int64(time.Millisecond))%len(replicas)]
	host, _, err := net.SplitHostPort(replica)
	if err != nil {
		d.process.log.Warn().Err(err).Str("replica", replica).Msg("invalid replica address")
		return ""
	}
	return net.JoinHostPort(host, port)
}
