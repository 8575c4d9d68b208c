package saddlestandin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.AttemptBody
	if decodeBody(w, r, &in) {
		e.drop(attemptKey{request: in.Request, attempt: in.Attempt})
	}
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.AttemptBody
	if !decodeBody(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.attempts[attemptKey{request: in.Request, attempt: in.Attempt}]
	if !ok {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	data, err := json.Marshal(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	encodeBody(w, saddleengine.CacheBody{Request: in.Request, Attempt: in.Attempt, Positions: state.Next, Data: data})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.CacheBody
	if !decodeBody(w, r, &in) {
		return
	}
	state := &attemptState{}
	if err := json.Unmarshal(in.Data, state); err != nil || len(state.Layers) != int(e.cfg.To-e.cfg.From) {
		http.Error(w, "the cache does not fit this engine's layers", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[attemptKey{request: in.Request, attempt: in.Attempt}] = state
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.OrderBody
	if !decodeBody(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := fireflysaddle.Fence{Term: fireflysaddle.Term(in.Term), Sequence: fireflysaddle.Sequence(in.Sequence)}
	if e.cfg.Fenced && !e.fence.Less(fence) {
		http.Error(w, "old fence", http.StatusPreconditionFailed)
		return
	}
	e.fence = fence
	e.orders = append(e.orders, in)
	go e.carryOut(in)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	encodeBody(w, e.loads.report())
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	encodeBody(w, e.cache.after(after))
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encodeBody(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
