package saddlereplica_test

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// kind is what a client asked for.
type kind int

const (
	putKind    kind = iota // a revision of a template, on a base revision
	readKind               // of a template
	openKind               // a claim
	settleKind             // a claim's outcome
)

// ask is what a client asked for: of a template its name, base and body, of a
// claim its key, request and answer.
type ask struct {
	kind kind
	key  string
	base uint64
	text string // body, or the claim's request
}

// told is what a client was answered. Of an unknown outcome it may have been
// carried out at any later time, or never.
type told struct {
	unknown  bool
	accepted bool
	revision uint64
	text     string // body, or the request that holds the claim
	done     bool   // the claim's outcome is recorded
}

// register is the state of one template or claim.
type register struct {
	revision uint64
	text     string
	done     bool
}

// history holds what clients asked and were answered.
type history struct {
	operations []porcupine.Operation
}

func (h *history) add(client int, call, end time.Time, in ask, out told) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: call.Sub(start).Nanoseconds(), Output: out}
	op.Return = end.Sub(start).Nanoseconds()
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.operations = append(h.operations, op)
}

// model describes templates and claims as if one process held them.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, op := range all {
			key := op.Input.(ask).key
			if _, ok := byKey[key]; !ok {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, key := range keys {
			out = append(out, byKey[key])
		}
		return out
	},
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		r, in, out := state.(register), input.(ask), output.(told)
		switch in.kind {
		case putKind:
			return r.put(in, out)
		case openKind:
			return r.open(in, out)
		case settleKind:
			return r.settle(in, out)
		}
		return out.revision == r.revision && out.text == r.text, r
	},
}

func (r register) put(in ask, out told) (bool, any) {
	next := r
	fits := in.base == r.revision
	if fits {
		next = register{revision: r.revision + 1, text: in.text}
	}
	if out.unknown {
		return true, next
	}
	return out.accepted == fits && out.revision == next.revision, next
}

func (r register) open(in ask, out told) (bool, any) {
	next := r
	free := r.text == ""
	if free {
		next = register{text: in.text}
	}
	if out.unknown {
		return true, next
	}
	return out.accepted == free && out.text == next.text && out.done == next.done, next
}

// settle is asked only by the request that holds the claim.
func (r register) settle(in ask, out told) (bool, any) {
	if r.text != in.text {
		return out.unknown || !out.accepted, r
	}
	return out.unknown || out.accepted, register{text: r.text, done: true}
}
