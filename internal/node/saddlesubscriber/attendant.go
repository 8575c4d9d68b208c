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
	updateQueue    = 64 // updates waiting to be merged
	settleSilences = 3  // silence times that a start waits for a confirmed configuration

	redialAfter = 150 * time.Millisecond // pause before a replica is dialled again
)

// Subscriber publishes the node's view. View and Wake are safe for concurrent
// use.
type Subscriber struct {
	cfg    Config
	view   atomic.Pointer[saddleview.View]
	since  atomic.Int64 // when the view's revision came into force, Unix nanoseconds
	events chan event
	notify func(*saddleview.View)

	more      chan []string // addresses to follow besides
	followers followers

	clockMu sync.Mutex
	clock   *saddleclock.Clock
	started time.Time
}

// event is an update of a replica, or its loss when update is nil.
type event struct {
	replica string
	update  *saddlewire.Update
}

// New returns an attendant. notify, if not nil, is called with each new view
// from the goroutine that owns it.
func New(cfg Config, notify func(*saddleview.View)) *Subscriber {
	now := time.Now()
	a := &Subscriber{
		cfg:     cfg,
		events:  make(chan event, updateQueue),
		more:    make(chan []string, 1),
		notify:  notify,
		clock:   saddleclock.New(now, 0),
		started: now,
	}
	a.view.Store(saddleview.NewBuilder().Build())
	return a
}

// View returns the latest view.
func (a *Subscriber) View() *saddleview.View { return a.view.Load() }

// Now returns the node's time by which the view's ConfirmedNs counts. It advances
// while the VM is suspended and never goes back.
func (a *Subscriber) Now() time.Time {
	a.clockMu.Lock()
	defer a.clockMu.Unlock()
	now := time.Now()
	return a.clock.Read(now, now.Sub(a.started))
}

// SendHeartbeats sends the next heartbeats at once, for a change that must not wait.
func (a *Subscriber) SendHeartbeats() { a.followers.wake() }

// AddReplicas keeps in touch with further replicas, until a confirmed one names those
// that there are.
func (a *Subscriber) AddReplicas(addresses []string) {
	select {
	case a.more <- addresses:
	default: // the same are asked for already, or will be at the next start
	}
}

// Run keeps in touch until the context ends: first with the replicas of the
// settings, then with those that a confirmed replica names, so that a replaced
// replica needs no new settings on any VM.
func (a *Subscriber) Run(ctx context.Context) error {
	defer a.followers.wait()
	for _, address := range a.cfg.Controls {
		a.followers.start(ctx, address, a.follow)
	}
	a.merge(ctx)
	return nil
}

// merge owns the builder and decides whom to follow.
func (a *Subscriber) merge(ctx context.Context) {
	b := saddleview.NewBuilder()
	settle := time.NewTimer(settleSilences * a.cfg.ControlSilenceTimeout)
	defer settle.Stop()
	alone := time.NewTicker(a.cfg.ControlSilenceTimeout)
	defer alone.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addresses := <-a.more:
			a.followAll(ctx, addresses)
			continue
		case <-alone.C:
			if a.View().Connected == 0 {
				a.followAll(ctx, a.cfg.Controls) // all that were named since may be gone
			}
			continue
		case <-settle.C:
			b.Settle()
		case e := <-a.events:
			a.take(ctx, b, e)
		}
		for range len(a.events) {
			a.take(ctx, b, <-a.events)
		}
		a.publish(b.Build())
	}
}

// take takes in an event of a replica that is still followed.
func (a *Subscriber) take(ctx context.Context, b *saddleview.Builder, e event) {
	if !a.followers.has(e.replica) {
		return
	}
	if e.update == nil {
		b.Lost(e.replica)
		return
	}
	b.Update(e.replica, e.update)
	if len(e.update.GetReplicas()) == 0 {
		return
	}
	if !e.update.GetConfirmed() {
		// One that is cut off may know old replicas only, but they are better than none.
		if !a.View().Confirmed {
			a.followAll(ctx, e.update.GetReplicas())
		}
		return
	}
	a.followAll(ctx, e.update.GetReplicas())
	for _, gone := range a.followers.stopOthers(e.update.GetReplicas()) {
		b.Lost(gone)
	}
}

func (a *Subscriber) followAll(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		a.followers.start(ctx, address, a.follow)
	}
}

func (a *Subscriber) publish(v *saddleview.View) {
	old := a.view.Swap(v)
	if v.Revision != old.Revision {
		now := time.Now()
		a.since.Store(now.UnixNano())
		a.cfg.Timeline.Add(now, saddletimeline.Event{Name: "in_force", Revision: v.Revision})
	}
	if a.notify != nil {
		a.notify(v)
	}
}

// follow dials one replica again and again.
func (a *Subscriber) follow(ctx context.Context, address string, wake <-chan struct{}) {
	for ctx.Err() == nil {
		a.attend(ctx, address, wake)
		a.post(ctx, event{replica: address})
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
		}
	}
}

func (a *Subscriber) post(ctx context.Context, e event) {
	select {
	case <-ctx.Done():
	case a.events <- e:
	}
}

// attend holds one connection until it fails or falls silent.
func (a *Subscriber) attend(ctx context.Context, address string, wake <-chan struct{}) {
	conn, err := saddlelink.DialWithNetwork(ctx, saddlelink.NetworkOrTCP(a.cfg.Network), address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(a.cfg.ControlSilenceTimeout, func() {
		cancel()
		_ = conn.Close()
	})
	defer silence.Stop()
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return
	}
	go a.beat(ctx, cancel, stream, wake)
	for {
		u, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(a.cfg.ControlSilenceTimeout)
		a.cfg.Timeline.Observe(time.Now(), u.GetStamp())
		a.post(ctx, event{replica: address, update: u})
	}
}

func (a *Subscriber) beat(ctx context.Context, cancel func(), stream saddlewire.DRPCControl_AttendClient, wake <-chan struct{}) {
	defer cancel()
	tick := time.NewTicker(a.cfg.HeartbeatInterval)
	defer tick.Stop()
	var beats saddleheartbeat.Sender
	for {
		m := a.cfg.Member()
		m.SinceNs = a.since.Load()
		b := beats.Next(m)
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
