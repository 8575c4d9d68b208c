package saddlecontrol

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// event is something that the core takes in; it runs on the core's goroutine.
type event interface {
	handle(now time.Time, c *core)
}

// messageEvent brings messages of another replica.
type messageEvent struct {
	messages []*saddlewire.Message
}

func (e messageEvent) handle(now time.Time, c *core) {
	for _, m := range e.messages {
		c.noteSender(m)
		c.replica.Step(now, m)
	}
}

// submitEvent brings a command.
type submitEvent struct {
	at      time.Time // wall clock
	command *saddlewire.Command
	reply   chan *saddlewire.SubmitResponse // of capacity 1
}

func (e submitEvent) handle(now time.Time, c *core) { c.submit(now, e) }

// changeEvent brings a change of the replicas.
type changeEvent struct {
	change *saddlewire.ReplicaChange
	reply  chan *saddlewire.SubmitResponse // of capacity 1
}

func (e changeEvent) handle(now time.Time, c *core) { c.change(now, e) }

// readEvent asks for the state.
type readEvent struct {
	request *saddlewire.ReadRequest
	reply   chan *saddlewire.ReadResponse // of capacity 1
}

func (e readEvent) handle(now time.Time, c *core) { e.reply <- c.read(now, e.request) }

// beatEvent brings a node's heartbeat.
type beatEvent struct {
	member *saddlewire.Member
}

func (e beatEvent) handle(now time.Time, c *core) { c.beat(now, e.member) }

// joinEvent adds someone who attends; leaveEvent removes them.
type joinEvent struct {
	who *attendee
}

func (e joinEvent) handle(_ time.Time, c *core) { c.attendees[e.who] = struct{}{} }

type leaveEvent struct {
	who *attendee
}

func (e leaveEvent) handle(_ time.Time, c *core) { delete(c.attendees, e.who) }

// pullEvent asks for what changed since the attendee's last update.
type pullEvent struct {
	who   *attendee
	reply chan *saddlewire.Update // of capacity 1
}

func (e pullEvent) handle(now time.Time, c *core) { e.reply <- c.update(now, e.who) }
