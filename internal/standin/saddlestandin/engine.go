package saddlestandin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

// Engine is a test double of a model engine, served over HTTP.
type Engine struct {
	*host
	cfg         EngineConfig
	engineState *engineState
	slots       *slots
	cache       *prefixCache
	loads       *loadHistory

	mu             sync.Mutex
	attempts       map[attemptKey]*attemptState
	orders         []saddleengine.OrderRequest
	fence          fireflysaddle.Fence // fencing token of the latest accepted order
	running        int                 // requests in progress
	positionsRun   int
	beforePosition func(position uint32)
}

type attemptKey struct {
	request string
	attempt uint32
}

// attemptState simulates the engine's KV cache of one attempt.
type attemptState struct {
	Next   uint32       `json:"next"` // next position to run
	Layers []layerState `json:"layers"`
}

// NewEngine starts an engine. The returned function stops it.
func NewEngine(cfg EngineConfig) (*Engine, func(), error) {
	e := newEngine(cfg)
	h, err := newHost(cfg.Address, e.routes())
	if err != nil {
		return nil, nil, err
	}
	e.host = h
	go func() { _ = h.serve() }()
	return e, h.Kill, nil
}

func newEngine(cfg EngineConfig) *Engine {
	if cfg.Journal == nil {
		cfg.Journal = &Journal{}
	}
	return &Engine{
		cfg:         cfg,
		engineState: newEngineState(cfg),
		slots:       newSlots(cfg.Slots),
		cache:       newPrefixCache(cfg.CacheLimit, cfg.CacheEventDropPeriod),
		loads:       &loadHistory{reportDelay: cfg.LoadReportDelay},
		attempts:    map[attemptKey]*attemptState{},
	}
}

// BeforePosition sets a function that is called before each step, with the first
// position of the step. Tests use it to fail an engine at a given position.
func (e *Engine) BeforePosition(fn func(position uint32)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beforePosition = fn
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []saddleengine.OrderRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]saddleengine.OrderRequest(nil), e.orders...)
}

// CachedAttempts returns the number of attempts whose KV cache the engine holds.
func (e *Engine) CachedAttempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+saddleengine.PathGenerate, e.generate)
	mux.HandleFunc("POST "+saddleengine.PathStep, e.step)
	mux.HandleFunc("POST "+saddleengine.PathCancel, e.cancel)
	mux.HandleFunc("POST "+saddleengine.PathExport, e.export)
	mux.HandleFunc("POST "+saddleengine.PathImport, e.importCache)
	mux.HandleFunc("POST "+saddleengine.PathOrders, e.acceptOrder)
	mux.HandleFunc("GET "+saddleengine.PathAlive, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /v1/load", e.reportLoad)
	mux.HandleFunc("GET /v1/events", e.reportEvents)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.GenerateRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if !e.slots.acquire(r.Context(), in.Priority) {
		return
	}
	defer e.slots.release()
	e.addRunning(1)
	defer e.addRunning(-1)
	k := attemptKey{request: in.Request, attempt: in.Attempt}
	defer e.removeAttempt(k)
	prompt := append(tokenize(in.Prompt), in.Delivered...)
	cachedTokens := e.cache.touch(prompt)
	if !e.simulateWork(r.Context(), time.Duration(len(prompt)-cachedTokens)*e.cfg.PrefillTime) {
		return
	}
	out := json.NewEncoder(w)
	input := embedAll(prompt)
	for range in.MaxTokens {
		activations, ok := e.runLayers(k, e.nextPosition(k), input)
		if !ok || !e.simulateWork(r.Context(), e.cfg.TokenTime) {
			return
		}
		token := sample(activations[len(activations)-1])
		if err := out.Encode(saddleengine.GenerateLine{Text: token}); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		input = embedAll([]string{token})
	}
	_ = out.Encode(saddleengine.GenerateLine{Done: true})
}

func (e *Engine) step(w http.ResponseWriter, r *http.Request) {
	var in saddleengine.StepRequest
	if !decodeBody(w, r, &in) {
		return
	}
	answer, code := e.runStep(r.Context(), in)
	switch code {
	case 0: // the caller has disconnected
	case http.StatusOK:
		encodeBody(w, answer)
	default:
		http.Error(w, "position out of order", code)
	}
}

// runStep runs one step and returns an HTTP status, or 0 if the context ended.
func (e *Engine) runStep(ctx context.Context, in saddleengine.StepRequest) (answer saddleengine.StepAnswer, code int) {
	if !e.slots.acquire(ctx, in.Priority) {
		return answer, 0
	}
	defer e.slots.release()
	e.addRunning(1)
	defer e.addRunning(-1)
	k := attemptKey{request: in.Request, attempt: in.Attempt}
	activations := e.stepInput(in)
	if len(activations) == 0 {
		return answer, http.StatusBadRequest
	}
	computeTime := e.cfg.TokenTime
	if len(activations) > 1 || in.Position == 0 {
		computeTime = time.Duration(len(activations)) * e.cfg.PrefillTime
	}
	if !e.simulateWork(ctx, computeTime) {
		return answer, 0
	}
	out, ok := e.runLayers(k, in.Position, activations)
	if !ok {
		return answer, http.StatusConflict
	}
	answer.Count = uint32(len(out))
	if e.cfg.LayerTo == e.cfg.LayerCount {
		answer.Token = sample(out[len(out)-1])
	} else {
		answer.Activation = encodeActivations(out)
	}
	return answer, http.StatusOK
}

// stepInput returns the input activations of a step. The first stage computes
// them from tokens. Every other stage gets them from the stage before it.
func (e *Engine) stepInput(in saddleengine.StepRequest) []uint64 {
	switch {
	case e.cfg.LayerFrom > 0:
		return decodeActivations(in.Activation)
	case in.Position == 0:
		return embedAll(append(tokenize(in.Prompt), in.Delivered...))
	}
	return embedAll([]string{in.Token})
}

// runLayers runs one position per input activation through the engine's layers and
// returns the output activations. The first of these positions is position. If it
// is not the next position of the attempt, runLayers runs no position and returns
// false.
func (e *Engine) runLayers(k attemptKey, position uint32, in []uint64) ([]uint64, bool) {
	e.mu.Lock()
	beforePosition := e.beforePosition
	e.mu.Unlock()
	if beforePosition != nil {
		beforePosition(position)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.attempts[k]
	if !ok {
		state = &attemptState{Layers: make([]layerState, e.cfg.LayerTo-e.cfg.LayerFrom)}
		e.attempts[k] = state
	}
	if state.Next != position {
		return nil, false
	}
	out := make([]uint64, 0, len(in))
	for _, activation := range in {
		for i := range state.Layers {
			activation = state.Layers[i].forward(e.cfg.LayerFrom+uint32(i), state.Next, activation)
		}
		e.cfg.Journal.Add(Execution{
			Engine: e.cfg.ID, Request: k.request, Attempt: k.attempt,
			Position: state.Next, LayerFrom: e.cfg.LayerFrom, LayerTo: e.cfg.LayerTo,
		})
		state.Next++
		e.positionsRun++
		out = append(out, activation)
	}
	return out, true
}

func (e *Engine) nextPosition(k attemptKey) uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.attempts[k]; ok {
		return s.Next
	}
	return 0
}

func (e *Engine) removeAttempt(k attemptKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, k)
}

// addRunning changes the number of running requests and records the load.
func (e *Engine) addRunning(delta int) {
	e.mu.Lock()
	e.running += delta
	running := e.running
	e.mu.Unlock()
	e.loads.add(time.Now(), running, e.slots.queued())
}

// simulateWork waits for d. If the host is frozen after that, it also waits until
// the host is thawed. It returns false if the context ended first.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
		}
	}
	return e.waitThawed(ctx)
}

func embedAll(tokens []string) []uint64 {
	out := make([]uint64, 0, len(tokens))
	for _, token := range tokens {
		out = append(out, embed(token))
	}
	return out
}
