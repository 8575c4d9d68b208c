package saddlecontrol

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// event is a unit of work for the core; handle runs on the core's goroutine.
type event interface {
	handle(now time.Time, c *core)
}

// messageEvent delivers Raft messages of another replica.
type messageEvent struct {
	messages []*saddlewire.Message
}

func (e messageEvent) handle(now time.Time, c *core) {
	for _, m := range e.messages {
		c.recordJoinLeader(m)
		c.replica.Step(now, m)
	}
}

// submitEvent submits a command.
type submitEvent struct {
	at      time.Time // wall-clock time of the request, stored in the command
	command *saddlewire.Command
	reply   chan *saddlewire.SubmitResponse // of capacity 1
}

func (e submitEvent) handle(now time.Time, c *core) { c.submit(now, e) }

// changeEvent requests a change of the group's membership.
type changeEvent struct {
	change *saddlewire.ReplicaChange
	reply  chan *saddlewire.SubmitResponse // of capacity 1
}

func (e changeEvent) handle(now time.Time, c *core) { c.changeMembership(now, e) }

// readEvent requests the applied state.
type readEvent struct {
	request *saddlewire.ReadRequest
	reply   chan *saddlewire.ReadResponse // of capacity 1
}

func (e readEvent) handle(now time.Time, c *core) { e.reply <- c.read(now, e.request) }

// heartbeatEvent delivers a node's heartbeat.
type heartbeatEvent struct {
	member *saddlewire.Member
	sentNs int64 // time of the sender's clock
}

func (e heartbeatEvent) handle(now time.Time, c *core) { c.recordHeartbeat(now, e.member, e.sentNs) }

// subscribeEvent adds a subscriber; unsubscribeEvent removes it.
type subscribeEvent struct {
	sub *subscriber
}

func (e subscribeEvent) handle(_ time.Time, c *core) { c.subscribers[e.sub] = struct{}{} }

type unsubscribeEvent struct {
	sub *subscriber
}

func (e unsubscribeEvent) handle(_ time.Time, c *core) { delete(c.subscribers, e.sub) }

// updateEvent requests the changes since the subscriber's last update.
type updateEvent struct {
	sub   *subscriber
	reply chan *saddlewire.Update // of capacity 1
}

func (e updateEvent) handle(now time.Time, c *core) { e.reply <- c.nextUpdate(now, e.sub) }

// snapshotNeedEvent asks how the first update to a subscriber is to be sent.
type snapshotNeedEvent struct {
	sub   *subscriber
	reply chan snapshotNeed // of capacity 1
}

// snapshotNeed says how the first update to a subscriber is to be sent.
type snapshotNeed struct {
	large       bool // it waits for its turn
	firstSource bool // before those to entries that another replica serves first
}

func (e snapshotNeedEvent) handle(_ time.Time, c *core) { e.reply <- c.snapshotNeed(e.sub) }
