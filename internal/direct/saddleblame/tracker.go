package saddleblame

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// confirmTime is the time between the interruption of a request and the evidence that its
	// engine has ended, in either order, within which the request may be the cause.
	confirmTime = 2 * time.Second
	// reportTime is how long a blame, or a part that proved harmless, is reported to control.
	// It is shorter than the time for which control remembers blames.
	reportTime = 20 * time.Second
	// maxEngines and maxPartsPerEngine bound what is reported.
	maxEngines        = 64
	maxPartsPerEngine = 128
)

// Tracker connects interrupted requests with the ends of their engines, and holds the
// quarantines that control has decided. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	interrupted map[string][]interruption              // by engine address
	endedAt     map[string]time.Time                   // by engine address
	blames      map[string]*blame                      // by engine
	watched     map[fireflysaddle.PromptPart]time.Time // blamed parts, and since when they are known to be
	harmless    map[fireflysaddle.PromptPart]time.Time
	quarantines []*saddlewire.Quarantine
}

// interruption is a request that was interrupted before its engine had answered.
type interruption struct {
	engine string
	parts  []fireflysaddle.PromptPart
	at     time.Time
}

type blame struct {
	parts map[fireflysaddle.PromptPart]struct{}
	at    time.Time
}

// New returns a tracker that blames no part.
func New() *Tracker {
	return &Tracker{
		interrupted: map[string][]interruption{},
		endedAt:     map[string]time.Time{},
		blames:      map[string]*blame{},
		watched:     map[fireflysaddle.PromptPart]time.Time{},
		harmless:    map[fireflysaddle.PromptPart]time.Time{},
	}
}

// Interrupted records that the connection of a request ended before the engine had answered.
// engine identifies the engine's start. It reports whether parts are blamed because the engine
// is known to have ended.
func (t *Tracker) Interrupted(now time.Time, address, engine string, parts []fireflysaddle.PromptPart) bool {
	if len(parts) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := interruption{engine: engine, parts: parts, at: now}
	if ended, ok := t.endedAt[address]; ok && now.Sub(ended) < confirmTime {
		t.blame(now, i)
		return true
	}
	t.interrupted[address] = append(t.interrupted[address], i)
	return false
}

// EngineEnded records evidence that the engine at an address has ended. It reports whether
// parts are blamed for it.
func (t *Tracker) EngineEnded(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.endedAt[address] = now
	blamed := false
	for _, i := range t.interrupted[address] {
		if now.Sub(i.at) < confirmTime {
			t.blame(now, i)
			blamed = true
		}
	}
	delete(t.interrupted, address)
	return blamed
}

// blame blames the parts of an interrupted request. What an engine answered before does not
// count for them.
func (t *Tracker) blame(now time.Time, i interruption) {
	b, ok := t.blames[i.engine]
	if !ok {
		if len(t.blames) >= maxEngines {
			return
		}
		b = &blame{parts: map[fireflysaddle.PromptPart]struct{}{}, at: now}
		t.blames[i.engine] = b
	}
	for _, p := range i.parts {
		if len(b.parts) < maxPartsPerEngine {
			b.parts[p] = struct{}{}
			t.watch(now, p)
			delete(t.harmless, p)
		}
	}
}

func (t *Tracker) watch(now time.Time, p fireflysaddle.PromptPart) {
	if _, ok := t.watched[p]; !ok {
		t.watched[p] = now
	}
}

// Answered records that an engine has answered a request that was sent at a time, or the
// first events of it. It reports whether that clears a part that was blamed. A request that
// was sent before the part was blamed clears nothing, because the part may have begun to end
// engines after it.
func (t *Tracker) Answered(now, sentAt time.Time, parts []fireflysaddle.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, p := range parts {
		if since, ok := t.watched[p]; !ok || !sentAt.After(since) {
			continue
		}
		delete(t.watched, p)
		t.harmless[p] = now
		for _, b := range t.blames {
			delete(b.parts, p)
		}
		cleared = true
	}
	return cleared
}

// Update takes over the parts that any entry blames, and the quarantines in force. It returns
// the quarantines that are new.
func (t *Tracker) Update(now time.Time, v *saddleview.View) []*saddlewire.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.watched
	t.watched = make(map[fireflysaddle.PromptPart]time.Time, len(v.BlamedParts))
	for _, p := range v.BlamedParts {
		t.watch(now, fireflysaddle.PromptPart(p))
	}
	for _, b := range t.blames {
		for p := range b.parts {
			t.watch(now, p)
		}
	}
	for p := range t.watched {
		if since, ok := before[p]; ok {
			t.watched[p] = since
		}
	}
	var begun []*saddlewire.Quarantine
	for _, q := range v.Quarantines {
		if !slices.ContainsFunc(t.quarantines, func(known *saddlewire.Quarantine) bool { return slices.Equal(known.GetParts(), q.GetParts()) }) {
			begun = append(begun, q)
		}
	}
	t.quarantines = v.Quarantines
	return begun
}

// Refused returns until when requests with some parts are refused, if they are.
func (t *Tracker) Refused(now time.Time, parts []fireflysaddle.PromptPart) (until time.Time, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range t.quarantines {
		end := time.UnixMilli(q.GetUntilMs())
		missing := func(p string) bool { return !slices.Contains(parts, fireflysaddle.PromptPart(p)) }
		if now.Before(end) && len(q.GetParts()) > 0 && !slices.ContainsFunc(q.GetParts(), missing) {
			return end, true
		}
	}
	return time.Time{}, false
}

// AddTo adds to a heartbeat what control is to know.
func (t *Tracker) AddTo(now time.Time, m *saddlewire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, engine := range slices.Sorted(maps.Keys(t.blames)) {
		if parts := sorted(t.blames[engine].parts); len(parts) > 0 {
			m.Blames = append(m.Blames, &saddlewire.Blame{Engine: engine, Parts: parts})
		}
	}
	m.HarmlessParts = sorted(t.harmless)
	m.Quarantines = t.quarantines
}

func sorted[V any](parts map[fireflysaddle.PromptPart]V) []string {
	var out []string
	for p := range parts {
		out = append(out, string(p))
	}
	slices.Sort(out)
	return out
}

func (t *Tracker) expire(now time.Time) {
	for address, list := range t.interrupted {
		list = slices.DeleteFunc(list, func(i interruption) bool { return now.Sub(i.at) >= confirmTime })
		t.interrupted[address] = list
		if len(list) == 0 {
			delete(t.interrupted, address)
		}
	}
	maps.DeleteFunc(t.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= confirmTime })
	maps.DeleteFunc(t.blames, func(_ string, b *blame) bool { return now.Sub(b.at) >= reportTime })
	maps.DeleteFunc(t.harmless, func(_ fireflysaddle.PromptPart, at time.Time) bool { return now.Sub(at) >= reportTime })
}
