package saddleannounce

import (
	"fmt"
	"net"
	"regexp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Announcement is a target's description of itself.
type Announcement struct {
	ID           string   `json:"id"`
	Kind         string   `json:"kind"`  // "engine" or "service"
	Group        string   `json:"group"` // model or service name
	Version      string   `json:"version"`
	LayerFrom    uint32   `json:"layer_from"` // engines: holds layers [from, to)
	LayerTo      uint32   `json:"layer_to"`
	LayerCount   uint32   `json:"layers"`        // engines: number of layers of the whole model
	Slots        uint32   `json:"slots"`         // requests that the target runs concurrently
	ChecksFences bool     `json:"checks_fences"` // engines: rejects orders with an outdated fencing token
	Address      string   `json:"address"`       // IP:port of the target's HTTP interface
	Incarnation  uint64   `json:"incarnation"`   // increases with each restart
	Accelerator  string   `json:"accelerator"`
	Rate         float64  `json:"rate"`     // tokens per second of one slot
	LinkMs       float64  `json:"link_ms"`  // one-way latency, milliseconds
	Role         string   `json:"role"`     // engines: role set by the latest order
	Adapters     []string `json:"adapters"` // engines: loaded adapters
	Loading      string   `json:"loading"`  // engines: subject of the order in progress
}

// Equal reports whether two announcements are equal apart from Loading, which
// changes within one incarnation, and the order of Adapters.
func (a Announcement) Equal(other Announcement) bool {
	return proto.Equal(a.Target(), other.Target())
}

// Leave is the message of a target that accepts no new work.
type Leave struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Reply is the reply to an Announcement or a Leave.
type Reply struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

const maxSlots = 1 << 16

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,99}$`)

// Check returns an error that names the first invalid field.
func (a Announcement) Check() error {
	switch {
	case !namePattern.MatchString(a.ID):
		return fmt.Errorf("id = %q must be 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit", a.ID)
	case !namePattern.MatchString(a.Group):
		return fmt.Errorf("group = %q must be 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit", a.Group)
	case a.Incarnation == 0:
		return fmt.Errorf("incarnation = 0 must be above 0")
	case a.Slots == 0 || a.Slots > maxSlots:
		return fmt.Errorf("slots = %d must be from 1 to %d", a.Slots, maxSlots)
	case a.Rate < 0 || a.LinkMs < 0:
		return fmt.Errorf("rate = %g and link_ms = %g must not be negative", a.Rate, a.LinkMs)
	}
	if host, _, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("address = %q must be IP:port", a.Address)
	}
	return a.checkKind()
}

func (a Announcement) checkKind() error {
	switch fireflysaddle.TargetKind(a.Kind) {
	case fireflysaddle.KindEngine:
		return a.layers().Check()
	case fireflysaddle.KindService:
		return nil
	}
	return fmt.Errorf("kind = %q must be \"engine\" or \"service\"", a.Kind)
}

func (a Announcement) layers() fireflysaddle.LayerRange {
	return fireflysaddle.LayerRange{
		From:        fireflysaddle.Layer(a.LayerFrom),
		To:          fireflysaddle.Layer(a.LayerTo),
		ModelLayers: fireflysaddle.Layer(a.LayerCount),
	}
}

// Target returns the announcement in the form that the processes of the fleet
// exchange, with sorted adapters and without Loading.
func (a Announcement) Target() *saddlewire.Target {
	return &saddlewire.Target{
		Id:          a.ID,
		Kind:        a.Kind,
		Group:       a.Group,
		Version:     a.Version,
		Layers:      &saddlewire.Layers{From: a.LayerFrom, To: a.LayerTo, Of: a.LayerCount},
		Slots:       a.Slots,
		Fenced:      a.ChecksFences,
		Address:     a.Address,
		Incarnation: a.Incarnation,
		Accelerator: a.Accelerator,
		Rate:        a.Rate,
		LinkMs:      a.LinkMs,
		Role:        a.Role,
		Adapters:    slices.Sorted(slices.Values(a.Adapters)),
	}
}
