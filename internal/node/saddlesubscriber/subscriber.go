package saddlesubscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclock"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	updateQueueSize        = 64 // updates not merged yet
	confirmationWaitFactor = 3  // wait of a start for a confirmed configuration, in multiples of Config.Silence

	redialDelay = 150 * time.Millisecond // pause before a replica is dialled again
)

// Subscriber keeps a stream to each control replica and publishes the merged
// view. All methods except Run are safe for concurrent use.
type Subscriber struct {
	cfg           Config
	view          atomic.Pointer[saddleview.View]
	revisionSince atomic.Int64 // when the view's revision came into force, Unix nanoseconds
	events        chan event
	notify        func(*saddleview.View)

	requestedReplicas chan []string // addresses of further replicas to connect to
	streams           streams

	clockMu sync.Mutex
	clock   *saddleclock.Clock
	started time.Time
}

// event is an update of a replica; a nil update means that its stream ended.
type event struct {
	replica string
	update  *saddlewire.Update
}

// New returns an Attendant. If notify is not nil, Run calls it with each new
// view, always from the same goroutine.
func New(cfg Config, notify func(*saddleview.View)) *Subscriber {
	now := time.Now()
	a := &Subscriber{
		cfg:               cfg,
		events:            make(chan event, updateQueueSize),
		requestedReplicas: make(chan []string, 1),
		notify:            notify,
		clock:             saddleclock.New(now, 0),
		started:           now,
	}
	a.view.Store(saddleview.NewBuilder().Build())
	return a
}

// View returns the latest view.
func (a *Subscriber) View() *saddleview.View { return a.view.Load() }

// Now returns the node's time, in which the view's ConfirmedNs is given. It
// advances while the VM is suspended and never goes back.
func (a *Subscriber) Now() time.Time {
	a.clockMu.Lock()
	defer a.clockMu.Unlock()
	now := time.Now()
	return a.clock.Read(now, now.Sub(a.started))
}

// SendHeartbeats sends the next heartbeats immediately, for a change that must not wait
// for the interval.
func (a *Subscriber) SendHeartbeats() { a.streams.wake() }

// AddReplicas connects to further replicas. Their streams last until a confirmed
// update that lists the replicas omits them.
func (a *Subscriber) AddReplicas(addresses []string) {
	select {
	case a.requestedReplicas <- addresses:
	default: // the same addresses are pending, or the next start connects to them
	}
}

// Run keeps the streams until the context ends: first to the replicas of the
// settings, then to those that a confirmed update lists, so that replacing a
// replica requires no change of settings on any VM.
func (a *Subscriber) Run(ctx context.Context) error {
	defer a.streams.wait()
	for _, address := range a.cfg.Controls {
		a.streams.start(ctx, address, a.maintainStream)
	}
	a.processEvents(ctx)
	return nil
}

// processEvents owns the builder and decides which replicas to connect to.
func (a *Subscriber) processEvents(ctx context.Context) {
	b := saddleview.NewBuilder()
	confirmationWait := time.NewTimer(confirmationWaitFactor * a.cfg.ControlSilenceTimeout)
	defer confirmationWait.Stop()
	disconnectedCheck := time.NewTicker(a.cfg.ControlSilenceTimeout)
	defer disconnectedCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addresses := <-a.requestedReplicas:
			a.startAll(ctx, addresses)
			continue
		case <-disconnectedCheck.C:
			if a.View().Connected == 0 {
				a.startAll(ctx, a.cfg.Controls) // the replicas listed later may all have been replaced
			}
			continue
		case <-confirmationWait.C:
			b.AllowUnconfirmed()
		case e := <-a.events:
			a.handleEvent(ctx, b, e)
		}
		for range len(a.events) {
			a.handleEvent(ctx, b, <-a.events)
		}
		a.publish(b.Build())
	}
}

// handleEvent applies an event unless the replica's stream has been stopped.
func (a *Subscriber) handleEvent(ctx context.Context, b *saddleview.Builder, e event) {
	if !a.streams.has(e.replica) {
		return
	}
	if e.update == nil {
		b.MarkDisconnected(e.replica)
		return
	}
	b.Update(e.replica, e.update)
	if len(e.update.GetReplicas()) == 0 {
		return
	}
	if !e.update.GetConfirmed() {
		// A partitioned replica may list only former replicas, so that no stream is
		// stopped; without a confirmed view they are still worth a connection.
		if !a.View().Confirmed {
			a.startAll(ctx, e.update.GetReplicas())
		}
		return
	}
	a.startAll(ctx, e.update.GetReplicas())
	for _, stopped := range a.streams.stopExcept(e.update.GetReplicas()) {
		b.MarkDisconnected(stopped)
	}
}

func (a *Subscriber) startAll(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		a.streams.start(ctx, address, a.maintainStream)
	}
}

func (a *Subscriber) publish(v *saddleview.View) {
	old := a.view.Swap(v)
	if v.Revision != old.Revision {
		now := time.Now()
		a.revisionSince.Store(now.UnixNano())
		a.cfg.Timeline.Add(now, saddletimeline.Event{Name: "in_force", Revision: v.Revision})
	}
	if a.notify != nil {
		a.notify(v)
	}
}

// maintainStream dials one replica until the context ends, with a pause after
// each failure.
func (a *Subscriber) maintainStream(ctx context.Context, address string, wake <-chan struct{}) {
	for ctx.Err() == nil {
		a.runStream(ctx, address, wake)
		a.post(ctx, event{replica: address})
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (a *Subscriber) post(ctx context.Context, e event) {
	select {
	case <-ctx.Done():
	case a.events <- e:
	}
}

// runStream receives updates over one connection until it fails or none arrives
// within Config.Silence.
func (a *Subscriber) runStream(ctx context.Context, address string, wake <-chan struct{}) {
	conn, err := saddlelink.DialWithNetwork(ctx, saddlelink.NetworkOrTCP(a.cfg.Network), address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(a.cfg.ControlSilenceTimeout, func() {
		cancel()
		_ = conn.Close()
	})
	defer silenceTimer.Stop()
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return
	}
	go a.heartbeatLoop(ctx, cancel, stream, wake)
	for {
		u, err := stream.Recv()
		if err != nil {
			return
		}
		silenceTimer.Reset(a.cfg.ControlSilenceTimeout)
		a.cfg.Timeline.Observe(time.Now(), u.GetStamp())
		a.post(ctx, event{replica: address, update: u})
	}
}

func (a *Subscriber) heartbeatLoop(ctx context.Context, cancel func(), stream saddlewire.DRPCControl_AttendClient, wake <-chan struct{}) {
	defer cancel()
	tick := time.NewTicker(a.cfg.HeartbeatInterval)
	defer tick.Stop()
	var sender saddleheartbeat.Sender
	for {
		m := a.cfg.Member()
		m.SinceNs = a.revisionSince.Load()
		b := sender.Next(m)
		b.Stamp = a.cfg.Timeline.Stamp(time.Now())
		b.SentNs = a.Now().UnixNano()
		if err := stream.Send(b); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-wake:
		}
	}
}
