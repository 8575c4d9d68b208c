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
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

const (
	// callerHeaderTimeout bounds the time in which a caller sends its request headers. A
	// routing configuration may state its own limit for this time, but the gateway does not
	// apply that limit. This constant applies instead and is meant to exceed every such limit.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout bounds the time between two requests on one connection. A routing
	// configuration may state its own limit for this time, but the gateway does not apply
	// that limit. This constant applies instead and is meant to exceed every such limit.
	callerIdleTimeout = 2 * time.Minute
	// fetchTimeout bounds one request for a routing configuration.
	fetchTimeout = time.Second
	// fetchRetryDelay is the delay before the next attempt if no replica returned a routing
	// configuration.
	fetchRetryDelay = 100 * time.Millisecond
	// coverageCheckInterval is the time between checks whether the usable engines hold
	// all layers of every model.
	coverageCheckInterval = 100 * time.Millisecond
	// unlimitedShutdownTimeout is the shutdown timeout if the settings contain neither a
	// grace period nor a shutdown timeout. It stands for no limit.
	unlimitedShutdownTimeout = 24 * time.Hour
	// probeCheckInterval is the time between checks for engines that are due for a probe.
	probeCheckInterval = 100 * time.Millisecond
	// maxCoverageWait is the longest wait, after the start of the gateway, for engines that
	// hold all layers of every model. After this time the gateway reports ready without
	// them, because plain services need no engines.
	maxCoverageWait = 8 * time.Second
)

// gateway is an entry to targets that run without agents.
type gateway struct {
	settings         atomic.Pointer[saddlesettings.Gateway] // in force; reloads replace them
	process          *process
	fleet            *saddlefleet.Fleet
	gateway          *saddlegateway.Gateway
	subscriber       *saddlesubscriber.Subscriber
	pool             *saddlelink.Pool
	client           *platform.Client
	budget           *saddlebudget.Budget
	shuttingDown     atomic.Bool
	drainTimeout     atomic.Int64 // nanoseconds: shutdownTimeout when the shutdown began; 0: it has not
	coverageWaitDone atomic.Bool
	started          time.Time
	fetchRequests    chan struct{} // signals fetchRoutings that a newer routing configuration exists; capacity 1

	mu      sync.Mutex
	routing *saddlerouting.Routing
}

// RunGateway runs a gateway until the context ends and the requests in progress have
// finished. New settings that arrive on reloads are applied as a whole, or refused if they
// need a restart.
func RunGateway(ctx context.Context, settings saddlesettings.Gateway, logs io.Writer, reloads <-chan saddlesettings.Gateway) error {
	now := time.Now()
	p, err := newProcess(now, settings.Common, settings.Digest(), fireflysaddle.RoleEntry, logs)
	if err != nil {
		return err
	}
	budget, restoreMemory := newBudget(settings)
	defer restoreMemory()
	client, closeClient := platform.NewClientWithin(budget)
	defer func() { _ = closeClient() }()
	pool, closePool := saddlelink.NewPoolWithNetwork(p.network)
	defer func() { _ = closePool() }()
	g := &gateway{process: p, budget: budget, pool: pool, client: client, started: now, fetchRequests: make(chan struct{}, 1)}
	g.settings.Store(&settings)
	g.fleet = saddlefleet.New(settings.Node, fireflysaddle.DataCentre(settings.Centre), p.log, func(address string, ended bool) {
		g.gateway.HandleEngineDown(address, ended)
		g.subscriber.SendHeartbeats()
	})
	g.gateway = saddlegateway.New(saddlegateway.Config{
		Node:          settings.Node,
		Centre:        settings.Centre,
		Forwarder:     client,
		Fleet:         g.fleet,
		Limits:        gatewayLimits(settings),
		GrantRetries:  g.requestRetries,
		Budget:        budget,
		BlamesChanged: func() { g.subscriber.SendHeartbeats() },
		Log:           p.log,
	})
	g.subscriber = saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              settings.Attend.Addresses(),
		HeartbeatInterval:     settings.Attend.HeartbeatInterval.Std(),
		ControlSilenceTimeout: settings.Attend.ControlSilenceTimeout.Std(),
		Timeline:              p.timeline,
		Network:               p.network,
		Log:                   p.log,
		Member:                p.withSettings(g.member),
	}, g.updateView)
	stopReloads := g.watchReloads(reloads)
	defer stopReloads()
	return p.serve(ctx, g.ready, g.run)
}

// watchReloads applies reloads of the settings until stop is called, which also applies a
// reload that arrived just before. Reloads are applied during a shutdown too, because the
// gateway still serves requests then.
func (g *gateway) watchReloads(reloads <-chan saddlesettings.Gateway) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				select {
				case s := <-reloads:
					g.applyReload(time.Now(), s)
				default:
				}
				return
			case s := <-reloads:
				g.applyReload(time.Now(), s)
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// applyReload applies new settings, or none of them if one needs a restart. The gateway
// subscribes to the control replicas that they name; it also stays with those that it
// knows, because a confirmed list of replicas decides which of them remain.
func (g *gateway) applyReload(now time.Time, s saddlesettings.Gateway) {
	previous := g.process.inForce.Load()
	if err := g.settings.Load().CheckReload(s); err != nil {
		countReloadsRefused.Add(1)
		g.process.log.Error().Err(err).Str("settings", previous.digest).Str("refused", s.Digest()).
			Msg("settings not reloaded: the previous ones stay in force")
		return
	}
	countSettingsReloads.Add(1)
	g.settings.Store(&s)
	g.gateway.SetLimits(gatewayLimits(s))
	setMemory(g.budget, s)
	g.subscriber.AddReplicas(s.Attend.Addresses())
	g.process.setSettings(now, s.Digest())
	g.subscriber.SendHeartbeats()
	g.process.log.Info().Strs("controls", s.Attend.Addresses()).Str("settings", s.Digest()).Str("before", previous.digest).
		Msg("settings reloaded")
}

func gatewayLimits(s saddlesettings.Gateway) saddlegateway.Limits {
	return saddlegateway.Limits{
		KeyLease: keyLease(s), RetryShare: s.RetryShare, RetryReserve: s.RetryReserve, MaxPause: s.MaxPause.Std(),
	}
}

// keyLeaseMargin is subtracted from the lease of API keys, because a replica's confirmation
// may be as old as its election timeout and because a request takes time to arrive.
const keyLeaseMargin = time.Second

// keyLease returns the lease in the settings less keyLeaseMargin, but at least
// keyLeaseMargin. It returns 0, which sets no limit, if the settings contain no lease.
func keyLease(settings saddlesettings.Gateway) time.Duration {
	if settings.KeyLease == 0 {
		return 0
	}
	return max(keyLeaseMargin, settings.KeyLease.Std()-keyLeaseMargin)
}

func (g *gateway) member() *saddlewire.Member {
	view := g.subscriber.View()
	m := &saddlewire.Member{
		Node:        g.settings.Load().Node,
		Role:        string(fireflysaddle.RoleEntry),
		Incarnation: uint64(g.process.incarnation),
		Centre:      g.settings.Load().Centre,
		Admin:       g.settings.Load().Admin,
		Leaving:     g.shuttingDown.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
		Load:        &saddlewire.Load{Drafts: g.fleet.SectionLoads(), Limits: g.fleet.Limits(time.Now())},
		Slow:        g.gateway.SlowCentres(time.Now()),
		Suspects:    g.fleet.Suspects(),
		Failing:     g.fleet.Failing(time.Now()),
	}
	g.gateway.AddBlames(time.Now(), m)
	return m
}

// shutdownTimeout returns the time limit, after the lame-duck period, for the requests in
// progress to finish.
func (g *gateway) shutdownTimeout() time.Duration {
	if grace := g.settings.Load().Grace.Std(); grace > 0 {
		return max(time.Second, grace-g.settings.Load().LameDuck.Std())
	}
	if g.settings.Load().ShutdownTimeout == 0 {
		return unlimitedShutdownTimeout
	}
	return g.settings.Load().ShutdownTimeout.Std()
}

// drainLimit returns shutdownTimeout by the settings at the beginning of the shutdown: the
// requests in progress were accepted by them.
func (g *gateway) drainLimit() time.Duration {
	if d := time.Duration(g.drainTimeout.Load()); d > 0 {
		return d
	}
	return g.shutdownTimeout()
}

// startShutdown tells the gateway when the process will end, if that is limited.
func (g *gateway) startShutdown(now time.Time) {
	g.drainTimeout.Store(int64(g.shutdownTimeout()))
	lameDuckEnd := now.Add(g.settings.Load().LameDuck.Std())
	killAt := lameDuckEnd.Add(g.shutdownTimeout())
	if grace := g.settings.Load().Grace.Std(); grace > 0 {
		killAt = now.Add(grace)
	}
	g.gateway.StartShutdown(now, lameDuckEnd, killAt)
}

// run serves until stop is closed, continues for the lame-duck period, and then waits
// until the requests in progress have finished or the shutdown timeout has passed.
func (g *gateway) run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = g.subscriber.Run(ctx) })
	wg.Go(func() { g.fetchRoutings(ctx) })
	wg.Go(func() { g.awaitCoverage(ctx) })
	wg.Go(func() { g.runProbes(ctx) })
	ingress := platform.NewIngress(g.gateway, g.subscriber.Now, g.process.log)
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	go func() {
		select {
		case <-stop:
		case <-ctx.Done():
			return
		}
		g.shuttingDown.Store(true)
		g.startShutdown(time.Now())
		ingress.Drain()
		g.subscriber.SendHeartbeats() // the other entries are to know
		g.process.log.Info().Dur("lame_duck", g.settings.Load().LameDuck.Std()).Msg("shutting down: reporting not ready, closing connections between requests, still accepting new ones for the lame-duck period")
		sleep(ctx, g.settings.Load().LameDuck.Std())
		stopServing()
	}()
	srv := &http.Server{Addr: g.settings.Load().Listen, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	return ingress.Serve(serveCtx, srv, g.drainLimit)
}
