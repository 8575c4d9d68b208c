package saddledaemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleattend"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
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
	// probeTimeout bounds the question to an engine, which answers at once.
	probeTimeout = 250 * time.Millisecond
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
	attendant *saddleattend.Attendant
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
	pool, closePool := saddlelink.NewPoolOver(p.network)
	defer func() { _ = closePool() }()
	g := &gateway{settings: settings, process: p, pool: pool, client: client, started: now, fetch: make(chan struct{}, 1)}
	g.fleet = saddlefleet.New(settings.Node, fireflysaddle.DataCentre(settings.Centre), p.log, func(address string) {
		g.gateway.EngineDown(address)
		g.attendant.Wake()
	})
	g.gateway = saddlegateway.New(saddlegateway.Config{
		Forwarder:    client,
		Fleet:        g.fleet,
		KeyLease:     keyLease(settings),
		RetryShare:   settings.RetryShare,
		RetryReserve: settings.RetryReserve,
		Grant:        g.grant,
		Log:          p.log,
	})
	g.attendant = saddleattend.New(saddleattend.Config{
		Controls: settings.Attend.Addresses(),
		Beat:     settings.Attend.Beat.Std(),
		Silence:  settings.Attend.Silence.Std(),
		Timeline: p.timeline,
		Network:  p.network,
		Member:   g.member,
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
			g.attendant.Follow(s.Attend.Addresses())
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
		Load:        &saddlewire.Load{Drafts: g.fleet.Drafts()},
		Slow:        g.gateway.Slow(time.Now()),
		Suspects:    g.fleet.Suspects(),
	}
}

// take takes up each new view.
func (g *gateway) take(v *saddleview.View) {
	g.fleet.Update(v)
	if v.Routing > g.held().GetVersion() {
		select {
		case g.fetch <- struct{}{}:
		default:
		}
	}
	g.use(v)
}

// use has the gateway serve by the routing held. How fresh that is counts only
// while no newer one is known.
func (g *gateway) use(v *saddleview.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := saddlegateway.State{Routing: g.routing, Confirmed: g.gateway.State().Confirmed}
	if confirmed := time.Unix(0, v.ConfirmedNs); v.ConfirmedNs > 0 && v.Routing <= g.routing.GetVersion() {
		s.Confirmed = confirmed
	}
	g.gateway.Use(s)
}

func (g *gateway) held() *saddlerouting.Routing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routing
}

// follow fetches each newer routing configuration until the context ends.
func (g *gateway) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetch:
		}
		for g.attendant.View().Routing > g.held().GetVersion() && ctx.Err() == nil {
			if !g.fetchOnce(ctx) && !pause(ctx, fetchAgain) {
				return
			}
		}
	}
}

// fetchOnce asks the replicas that hold the newest configuration for it.
func (g *gateway) fetchOnce(ctx context.Context) bool {
	for _, address := range g.attendant.View().RoutingSources {
		in := &saddlewire.RoutingRequest{Have: g.held().GetVersion()}
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(callCtx, address)).FetchRouting(callCtx, in)
		cancel()
		countFetches.Add(1)
		if err != nil || out.GetRouting() == nil {
			g.process.log.Warn().Err(err).Str("control", address).Msg("routing configuration not fetched")
			continue
		}
		routing, err := platform.OpenRouting(out.GetRouting().GetContent())
		if err != nil {
			g.process.log.Error().Err(err).Str("control", address).Uint64("routing", out.GetVersion()).Msg("routing configuration cannot be read")
			continue
		}
		g.install(routing)
		return true
	}
	return false
}

// install takes up a routing configuration unless a newer one is held.
func (g *gateway) install(routing *saddlerouting.Routing) {
	g.mu.Lock()
	newer := routing.Version > g.routing.GetVersion()
	before := g.routing.GetVersion()
	if newer {
		g.routing = routing
	}
	g.mu.Unlock()
	if !newer {
		return
	}
	g.use(g.attendant.View())
	g.process.log.Info().Uint64("routing", routing.Version).Uint64("before", before).Int("routes", len(routing.Routes)).
		Msg("routing configuration in force")
}

// grant asks the leader for repeated sendings.
func (g *gateway) grant(ctx context.Context, group fireflysaddle.Group, want, limit int) int {
	in := &saddlewire.RetryRequest{Group: string(group), Want: uint32(want), Limit: uint32(limit)}
	queue := slices.Clone(g.attendant.View().RoutingSources)
	for asked := map[string]bool{}; len(queue) > 0 && ctx.Err() == nil; queue = queue[1:] {
		if asked[queue[0]] {
			continue
		}
		asked[queue[0]] = true
		out, err := saddlewire.NewDRPCControlClient(g.pool.Conn(ctx, queue[0])).GrantRetries(ctx, in)
		switch {
		case err != nil:
			g.process.log.Warn().Err(err).Str("control", queue[0]).Msg("no answer to the request for repeated sendings")
		case out.GetLeads():
			return int(out.GetGranted())
		case out.GetLeader() != "":
			queue = slices.Insert(queue, 1, out.GetLeader())
		}
	}
	return 0
}

// ready returns nil when the gateway can serve.
func (g *gateway) ready() error {
	s := g.gateway.State()
	switch {
	case g.leaving.Load():
		return eris.New("the process was told to stop")
	case s.Routing == nil:
		return eris.New("no routing configuration is known yet")
	case keyLease(g.settings) > 0 && g.attendant.Now().Sub(s.Confirmed) > keyLease(g.settings):
		return eris.New("control has not been heard for too long to trust keys")
	case !g.covered.Load():
		return eris.New("no engines hold all layers yet")
	}
	return nil
}

// watchCover notes once that chains stand for every model.
func (g *gateway) watchCover(ctx context.Context) {
	for !g.covered.Load() {
		if g.chainsStand(time.Now()) || time.Since(g.started) > openAnyway {
			g.covered.Store(true)
			g.process.log.Info().Int64("after_ms", time.Since(g.started).Milliseconds()).Msg("ready for drafts")
			return
		}
		if !pause(ctx, coverEvery) {
			return
		}
	}
}

func (g *gateway) chainsStand(now time.Time) bool {
	routing := g.held()
	if routing == nil {
		return false
	}
	for _, pool := range routing.Pools {
		if pool.Model != nil && !g.fleet.Covered(now, pool) {
			return false
		}
	}
	return true
}

// probe asks the engines that are passed over for their state.
func (g *gateway) probe(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-g.fleet.Doubts():
		}
		for _, t := range g.fleet.Due(time.Now()) {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				report, err := g.client.Report(callCtx, t.Address)
				g.fleet.Probed(time.Now(), t, report, err)
			})
		}
	}
}

// shutdown returns how long requests in progress are waited for after the lame
// duck time.
func (g *gateway) shutdown() time.Duration {
	if grace := g.settings.Grace.Std(); grace > 0 {
		return max(time.Second, grace-g.settings.LameDuck.Std())
	}
	if g.settings.Shutdown == 0 {
		return noBound
	}
	return g.settings.Shutdown.Std()
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
		in.Leave()
		if grace := g.settings.Grace.Std(); grace > 0 {
			g.gateway.Leave(time.Now().Add(grace))
		}
		g.process.log.Info().Dur("lame_duck", g.settings.LameDuck.Std()).Msg("told to stop: no longer ready, still serving")
		pause(ctx, g.settings.LameDuck.Std())
		stopServing()
	}()
	srv := &http.Server{Addr: g.settings.Listen, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	return in.Serve(serveCtx, srv, g.shutdown())
}
