package saddlestandin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.AttemptRequest
	if decodeBody(w, r, &in) {
		e.removeAttempt(attemptKey{request: in.Request, attempt: in.Attempt})
	}
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.AttemptRequest
	if !decodeBody(w, r, &in) {
		return
	}
	out, code := e.exportState(attemptKey{request: in.Request, attempt: in.Attempt})
	if code != http.StatusOK {
		http.Error(w, "no such attempt", code)
		return
	}
	encodeBody(w, out)
}

func (e *Engine) exportState(k attemptKey) (saddleengine.KVCacheBody, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.attempts[k]
	if !ok {
		return saddleengine.KVCacheBody{}, http.StatusNotFound
	}
	data, err := json.Marshal(state)
	if err != nil {
		return saddleengine.KVCacheBody{}, http.StatusInternalServerError
	}
	return saddleengine.KVCacheBody{Request: k.request, Attempt: k.attempt, Positions: state.Next, Data: data}, http.StatusOK
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.KVCacheBody
	if !decodeBody(w, r, &in) {
		return
	}
	if code := e.importState(attemptKey{request: in.Request, attempt: in.Attempt}, in.Data); code != http.StatusOK {
		http.Error(w, "the cache does not fit this engine's layers", code)
	}
}

func (e *Engine) importState(k attemptKey, data []byte) int {
	state := &attemptState{}
	if err := json.Unmarshal(data, state); err != nil || len(state.Layers) != int(e.cfg.LayerTo-e.cfg.LayerFrom) {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[k] = state
	e.cfg.Journal.Add(Execution{
		Engine: e.cfg.ID, Request: k.request, Attempt: k.attempt,
		Position: state.Next, LayerFrom: e.cfg.LayerFrom, LayerTo: e.cfg.LayerTo, Imported: true,
	})
	return http.StatusOK
}

func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.OrderRequest
	if !decodeBody(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := fireflysaddle.Fence{Term: fireflysaddle.Term(in.Term), Sequence: fireflysaddle.Sequence(in.Sequence)}
	if e.cfg.ChecksFences && !e.fence.Less(fence) {
		http.Error(w, "stale fence", http.StatusPreconditionFailed)
		return
	}
	e.fence = fence
	e.orders = append(e.orders, in)
	go e.executeOrder(in)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	encodeBody(w, e.loads.report())
}

func (e *Engine) reportEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	encodeBody(w, e.cache.eventsAfter(after))
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
