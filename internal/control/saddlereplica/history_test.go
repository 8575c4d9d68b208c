package saddlereplica_test

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// kind is the kind of a client operation.
type kind int

const (
	putOp    kind = iota // writes a template revision on top of a base revision
	readOp               // reads a template
	openOp               // opens a claim
	settleOp             // records the outcome of a claim
)

// opInput is the input of an operation on a template or a claim.
type opInput struct {
	kind kind
	key  string // name of the template, or key of the claim
	base uint64 // base revision of putOp
	text string // body of the template, or request that opens or settles the claim
}

// opOutput is the output of an operation. An operation of unknown outcome may take
// effect at any later time, or never.
type opOutput struct {
	unknown  bool
	accepted bool
	revision uint64
	text     string // body of the template, or request that holds the claim
	done     bool   // the claim's outcome is recorded
}

// register is the state of one template or claim.
type register struct {
	revision uint64
	text     string
	done     bool
}

// history records the operations of all clients.
type history struct {
	operations []porcupine.Operation
}

func (h *history) add(client int, call, end time.Time, in opInput, out opOutput) {
	op := porcupine.Operation{ClientId: client, Input: in, Call: call.Sub(start).Nanoseconds(), Output: out}
	op.Return = end.Sub(start).Nanoseconds()
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.operations = append(h.operations, op)
}

// model is the sequential specification of templates and claims.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, op := range all {
			key := op.Input.(opInput).key
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
		r, in, out := state.(register), input.(opInput), output.(opOutput)
		switch in.kind {
		case putOp:
			return r.put(in, out)
		case openOp:
			return r.open(in, out)
		case settleOp:
			return r.settle(in, out)
		}
		return out.revision == r.revision && out.text == r.text, r
	},
}

func (r register) put(in opInput, out opOutput) (bool, any) {
	next := r
	baseMatches := in.base == r.revision
	if baseMatches {
		next = register{revision: r.revision + 1, text: in.text}
	}
	if out.unknown {
		return true, next
	}
	return out.accepted == baseMatches && out.revision == next.revision, next
}

func (r register) open(in opInput, out opOutput) (bool, any) {
	next := r
	unclaimed := r.text == ""
	if unclaimed {
		next = register{text: in.text}
	}
	if out.unknown {
		return true, next
	}
	return out.accepted == unclaimed && out.text == next.text && out.done == next.done, next
}

// settle records the outcome of a claim. Only the request that holds the claim may
// record it.
func (r register) settle(in opInput, out opOutput) (bool, any) {
	if r.text != in.text {
		return out.unknown || !out.accepted, r
	}
	return out.unknown || out.accepted, register{text: r.text, done: true}
}
