package saddlesubscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclock"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	updateQueueSize        = 64 // updates not merged yet
	confirmationWaitFactor = 3  // how long a starting node waits for a confirmed configuration, in units of ControlSilenceTimeout

	redialDelay = 150 * time.Millisecond // pause before a replica is dialled again
)

// Subscriber maintains a stream to each control replica and publishes the merged
// view. All methods except Run are safe for concurrent use.
type Subscriber struct {
	cfg           Config
	view          atomic.Pointer[saddleview.View]
	revisionSince atomic.Int64 // when this node began to use the view's revision, Unix nanoseconds
	events        chan event
	notify        func(*saddleview.View)

	requestedReplicas chan []string // addresses of further replicas to connect to
	streams           streams

	clockMu sync.Mutex
	clock   *saddleclock.Clock
	started time.Time
}

// event is an update from a replica; a nil update means that the replica's stream
// ended.
type event struct {
	replica string
	update  *saddlewire.Update
}

// New returns a Subscriber. If notify is not nil, Run calls it with each new
// view, always from the same goroutine.
func New(cfg Config, notify func(*saddleview.View)) *Subscriber {
	now := time.Now()
	s := &Subscriber{
		cfg:               cfg,
		events:            make(chan event, updateQueueSize),
		requestedReplicas: make(chan []string, 1),
		notify:            notify,
		clock:             saddleclock.New(now, 0),
		started:           now,
	}
	s.view.Store(saddleview.NewBuilder().Build())
	return s
}

// View returns the latest view.
func (s *Subscriber) View() *saddleview.View { return s.view.Load() }

// Now returns the time of the node's clock, to which the view's ConfirmedNs refers. It
// advances while the VM is suspended and never goes back.
func (s *Subscriber) Now() time.Time {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	now := time.Now()
	return s.clock.Read(now, now.Sub(s.started))
}

// SendHeartbeats sends the next heartbeats immediately, for a change that must not wait
// for the interval.
func (s *Subscriber) SendHeartbeats() { s.streams.wake() }

// AddReplicas connects to further replicas. Their streams are stopped by a confirmed
// update whose list of replicas does not contain them. The addresses are dropped if
// an earlier call is still pending.
func (s *Subscriber) AddReplicas(addresses []string) {
	select {
	case s.requestedReplicas <- addresses:
	default: // an earlier call is pending; a later call or the next start of the process connects to these replicas
	}
}

// Run maintains the streams until the context is done. It starts with the replicas
// in the settings and changes to those listed by a confirmed update, so that
// replacing a replica requires no change of settings on any VM.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.streams.wait()
	for _, address := range s.cfg.Controls {
		s.streams.start(ctx, address, s.maintainStream)
	}
	s.processEvents(ctx)
	return nil
}

// processEvents applies the updates to a builder, publishes the views, and decides
// which replicas to connect to.
func (s *Subscriber) processEvents(ctx context.Context) {
	b := saddleview.NewBuilder()
	confirmationWait := time.NewTimer(confirmationWaitFactor * s.cfg.ControlSilenceTimeout)
	defer confirmationWait.Stop()
	disconnectedCheck := time.NewTicker(s.cfg.ControlSilenceTimeout)
	defer disconnectedCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case addresses := <-s.requestedReplicas:
			s.startAll(ctx, addresses)
			continue
		case <-disconnectedCheck.C:
			if s.View().Connected == 0 {
				s.startAll(ctx, s.cfg.Controls) // all replicas that the latest update listed may have been replaced
			}
			continue
		case <-confirmationWait.C:
			b.AllowUnconfirmed()
		case e := <-s.events:
			s.handleEvent(ctx, b, e)
		}
		for range len(s.events) {
			s.handleEvent(ctx, b, <-s.events)
		}
		s.publish(b.Build())
	}
}

// handleEvent applies an event unless the replica's stream has been stopped.
func (s *Subscriber) handleEvent(ctx context.Context, b *saddleview.Builder, e event) {
	if !s.streams.has(e.replica) {
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
		// A partitioned replica may list only former replicas, so no stream is
		// stopped. While the view is not confirmed, the listed replicas are
		// dialled as well, since they may be current.
		if !s.View().Confirmed {
			s.startAll(ctx, e.update.GetReplicas())
		}
		return
	}
	s.startAll(ctx, e.update.GetReplicas())
	for _, stopped := range s.streams.stopExcept(e.update.GetReplicas()) {
		b.MarkDisconnected(stopped)
	}
}

func (s *Subscriber) startAll(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		s.streams.start(ctx, address, s.maintainStream)
	}
}

func (s *Subscriber) publish(v *saddleview.View) {
	old := s.view.Swap(v)
	if v.Revision != old.Revision {
		now := time.Now()
		s.revisionSince.Store(now.UnixNano())
		s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "in_force", Revision: v.Revision})
	}
	if s.notify != nil {
		s.notify(v)
	}
}

// maintainStream runs streams to one replica until the context is done, with a
// pause before each new one.
func (s *Subscriber) maintainStream(ctx context.Context, address string, wake <-chan struct{}) {
	log := streamLog{log: s.cfg.Log.With().Str("control", address).Logger()}
	for ctx.Err() == nil {
		err := s.runStream(ctx, address, wake, log.connected)
		if ctx.Err() == nil {
			log.lost(err)
		}
		s.post(ctx, event{replica: address})
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (s *Subscriber) post(ctx context.Context, e event) {
	select {
	case <-ctx.Done():
	case s.events <- e:
	}
}

// runStream receives updates over one connection until the connection fails or no
// update arrives within Config.ControlSilenceTimeout, and returns the cause. It calls
// onUpdate for each update.
func (s *Subscriber) runStream(ctx context.Context, address string, wake <-chan struct{}, onUpdate func()) error {
	conn, err := saddlelink.DialWithNetwork(ctx, saddlelink.NetworkOrTCP(s.cfg.Network), address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(s.cfg.ControlSilenceTimeout, func() {
		cancel(errSilent)
		_ = conn.Close()
	})
	defer silenceTimer.Stop()
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	go func() { cancel(s.sendHeartbeats(ctx, stream, wake)) }()
	for {
		u, err := stream.Recv()
		if err != nil {
			return streamError(ctx, err)
		}
		silenceTimer.Reset(s.cfg.ControlSilenceTimeout)
		if u.GetWaiting() {
			continue
		}
		s.cfg.Timeline.Observe(time.Now(), u.GetStamp())
		onUpdate()
		s.post(ctx, event{replica: address, update: u})
	}
}

// sendHeartbeats sends heartbeats until the context ends or one cannot be sent.
func (s *Subscriber) sendHeartbeats(ctx context.Context, stream saddlewire.DRPCControl_AttendClient, wake <-chan struct{}) error {
	tick := time.NewTicker(s.cfg.HeartbeatInterval)
	defer tick.Stop()
	var sender saddleheartbeat.Sender
	for {
		sentAt := s.Now() // before the member is read: a heartbeat with a later time then has no older state
		m := s.cfg.Member()
		m.SinceNs = s.revisionSince.Load()
		b := sender.Next(m)
		b.Stamp = s.cfg.Timeline.Stamp(time.Now())
		b.SentNs = sentAt.UnixNano()
		if err := stream.Send(b); err != nil {
			return eris.Wrap(err, "send a heartbeat")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-wake:
		}
	}
}
