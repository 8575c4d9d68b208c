package saddledaemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

const (
	callerHeaderTimeout = 10 * time.Second // for a caller to send its head, over any limit of a configuration
	callerIdleTimeout   = 2 * time.Minute  // between requests on one connection, over any limit of a configuration
	// fetchTimeout bounds the question for a routing configuration.
	fetchTimeout = time.Second
	// fetchAgain is the pause after no replica gave a routing configuration.
	fetchAgain = 100 * time.Millisecond
	// coverEvery is the time between looks whether a chain stands.
	coverEvery = 100 * time.Millisecond
	// noBound stands for a wait without bound.
	noBound = 24 * time.Hour
	// probeEvery is the time between looks for engines that are due.
	probeEvery = 100 * time.Millisecond
	// probeTimeout bounds the question to an engine, which answers within some
	// milliseconds: a caller that waits for it is late after a quarter of a second.
	probeTimeout = 120 * time.Millisecond
	// openAnyway is how long a gateway waits for a chain to stand before it calls
	// itself ready: it can serve plain services without one.
	openAnyway = 8 * time.Second
)

// gateway is an entry to targets without agents.
type gateway struct {
	settings  saddlesettings.Gateway
	process   *process
	fleet     *saddlefleet.Fleet
	gateway   *saddlegateway.Gateway
	attendant *saddlesubscriber.Subscriber
	pool      *saddlelink.Pool
	client    *platform.Client
	leaving   atomic.Bool
	covered   atomic.Bool
	started   time.Time
	fetch     chan struct{} // of capacity 1: a newer routing configuration is known

	mu      sync.Mutex
	routing *saddlerouting.Routing
}

// RunGateway runs a gateway until the context ends and its work in progress has.
// New settings name control replicas that are followed besides.
func RunGateway(ctx context.Context, settings saddlesettings.Gateway, logs io.Writer, reloads <-chan saddlesettings.Gateway) error {
	now := time.Now()
	p, err := newProcess(now, settings.Common, fireflysaddle.RoleEntry, logs)
	if err != nil {
		return err
	}
	client, closeClient := platform.NewClient()
	defer func() { _ = closeClient() }()
	pool, closePool := saddlelink.NewPoolWithNetwork(p.network)
	defer func() { _ = closePool() }()
	g := &gateway{settings: settings, process: p, pool: pool, client: client, started: now, fetch: make(chan struct{}, 1)}
	g.fleet = saddlefleet.New(settings.Node, fireflysaddle.DataCentre(settings.Centre), p.log, func(address string) {
		g.gateway.EngineDown(address)
		g.attendant.SendHeartbeats()
	})
	g.gateway = saddlegateway.New(saddlegateway.Config{
		Forwarder:    client,
		Fleet:        g.fleet,
		KeyLease:     keyLease(settings),
		RetryShare:   settings.RetryShare,
		RetryReserve: settings.RetryReserve,
		GrantRetries: g.grant,
		Log:          p.log,
	})
	g.attendant = saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              settings.Attend.Addresses(),
		HeartbeatInterval:     settings.Attend.HeartbeatInterval.Std(),
		ControlSilenceTimeout: settings.Attend.ControlSilenceTimeout.Std(),
		Timeline:              p.timeline,
		Network:               p.network,
		Member:                g.member,
	}, g.take)
	reloadCtx, stopReloads := context.WithCancel(ctx)
	defer stopReloads()
	go g.takeReloads(reloadCtx, reloads)
	return p.serve(ctx, g.ready, g.run)
}

// takeReloads takes up settings that were read again.
func (g *gateway) takeReloads(ctx context.Context, reloads <-chan saddlesettings.Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-reloads:
			countReloads.Add(1)
			g.attendant.AddReplicas(s.Attend.Addresses())
			g.process.log.Info().Strs("controls", s.Attend.Addresses()).Msg("settings reloaded")
		}
	}
}

// keyMargin is taken off the time for which keys are good: a replica's word may be
// as old as its election timeout, and a request takes time to arrive.
const keyMargin = time.Second

func keyLease(settings saddlesettings.Gateway) time.Duration {
	if settings.KeyLease == 0 {
		return 0
	}
	return max(keyMargin, settings.KeyLease.Std()-keyMargin)
}

func (g *gateway) member() *saddlewire.Member {
	view := g.attendant.View()
	return &saddlewire.Member{
		Node:        g.settings.Node,
		Role:        string(fireflysaddle.RoleEntry),
		Incarnation: uint64(g.process.incarnation),
		Centre:      g.settings.Centre,
		Admin:       g.settings.Admin,
		Leaving:     g.leaving.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
		Load:        &saddlewire.Load{Drafts: g.fleet.CentreLoads()},
		Slow:        g.gateway.SlowCentres(time.Now()),
		Suspects:    g.fleet.Suspects(),
	}
}

// shutdown returns how long requests in progress are waited for after the lame
// duck time.
func (g *gateway) shutdown() time.Duration {
	if grace := g.settings.Grace.Std(); grace > 0 {
		return max(time.Second, grace-g.settings.LameDuck.Std())
	}
	if g.settings.ShutdownTimeout == 0 {
		return noBound
	}
	return g.settings.ShutdownTimeout.Std()
}

// run serves until told to stop, and then until the requests in progress have
// ended or the shutdown time is over.
func (g *gateway) run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = g.attendant.Run(ctx) })
	wg.Go(func() { g.follow(ctx) })
	wg.Go(func() { g.watchCover(ctx) })
	wg.Go(func() { g.probe(ctx) })
	in := platform.NewIngress(g.gateway, g.attendant.Now, g.process.log)
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	go func() {
		select {
		case <-stop:
		case <-ctx.Done():
			return
		}
		g.leaving.Store(true)
		in.DisableKeepAlives()
		if grace := g.settings.Grace.Std(); grace > 0 {
			g.gateway.SetShutdownDeadline(time.Now().Add(grace))
		}
		g.process.log.Info().Dur("lame_duck", g.settings.LameDuck.Std()).Msg("told to stop: no longer ready, still serving")
		pause(ctx, g.settings.LameDuck.Std())
		stopServing()
	}()
	srv := &http.Server{Addr: g.settings.Listen, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	return in.Serve(serveCtx, srv, g.shutdown())
}
