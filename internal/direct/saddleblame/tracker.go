package saddleblame

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// confirmTime is the time between the interruption of a request and the evidence that its
	// target has ended, in either order, within which the request may be the cause.
	confirmTime = 2 * time.Second
	// reportTime is how long a blame, or a trait that proved harmless, is reported to control.
	// It is shorter than the time for which control remembers blames.
	reportTime = 20 * time.Second
	// maxTargets and maxTraitsPerTarget bound what is reported.
	maxTargets         = 64
	maxTraitsPerTarget = 128
)

// Tracker connects interrupted requests with the ends of their targets, and holds the
// quarantines that control has decided. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	interrupted map[string][]interruption         // by target address
	endedAt     map[string]time.Time              // by target address
	blames      map[string]*blame                 // by target
	watched     map[fireflysaddle.Trait]time.Time // blamed traits, and since when they are known to be
	harmless    map[fireflysaddle.Trait]time.Time
	quarantines []*saddlewire.Quarantine
}

// interruption is a request that was interrupted before its target had answered.
type interruption struct {
	target string
	traits []fireflysaddle.Trait
	sentAt time.Time
	at     time.Time
}

type blame struct {
	traits  map[fireflysaddle.Trait]time.Time // time at which the latest request with the trait was sent
	endedAt time.Time                         // time of the first interruption
	at      time.Time
}

// New returns a tracker that blames no trait.
func New() *Tracker {
	return &Tracker{
		interrupted: map[string][]interruption{},
		endedAt:     map[string]time.Time{},
		blames:      map[string]*blame{},
		watched:     map[fireflysaddle.Trait]time.Time{},
		harmless:    map[fireflysaddle.Trait]time.Time{},
	}
}

// Interrupted records that the connection of a request that was sent at a time ended before the
// target had answered. target identifies the target's start. It reports whether traits are
// blamed because the target is known to have ended since.
func (t *Tracker) Interrupted(now, sentAt time.Time, address, target string, traits []fireflysaddle.Trait) bool {
	if len(traits) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := interruption{target: target, traits: traits, sentAt: sentAt, at: now}
	if ended, ok := t.endedAt[address]; ok && !ended.Before(sentAt) && now.Sub(ended) < confirmTime {
		t.blame(now, i)
		return true
	}
	t.interrupted[address] = append(t.interrupted[address], i)
	return false
}

// TargetEnded records evidence that the target at an address has ended. It reports whether
// traits are blamed for it.
func (t *Tracker) TargetEnded(now time.Time, address string) bool {
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

// blame blames the traits of an interrupted request. What a target answered before does not
// count for them.
func (t *Tracker) blame(now time.Time, i interruption) {
	b, ok := t.blames[i.target]
	if !ok {
		if len(t.blames) >= maxTargets {
			return
		}
		b = &blame{traits: map[fireflysaddle.Trait]time.Time{}, endedAt: i.at, at: now}
		t.blames[i.target] = b
	}
	if i.at.Before(b.endedAt) {
		b.endedAt = i.at
	}
	for _, tr := range i.traits {
		if len(b.traits) < maxTraitsPerTarget {
			if i.sentAt.After(b.traits[tr]) {
				b.traits[tr] = i.sentAt
			}
			t.watch(now, tr)
			delete(t.harmless, tr)
		}
	}
}

func (t *Tracker) watch(now time.Time, tr fireflysaddle.Trait) {
	if _, ok := t.watched[tr]; !ok {
		t.watched[tr] = now
	}
}

// Answered records that a target has answered a request that was sent at a time, or the
// first events of it. It reports whether that clears a trait that was blamed. A request that
// was sent before the trait was blamed clears nothing, because the trait may have begun to end
// targets after it.
func (t *Tracker) Answered(now, sentAt time.Time, traits []fireflysaddle.Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, tr := range traits {
		if since, ok := t.watched[tr]; !ok || !sentAt.After(since) {
			continue
		}
		delete(t.watched, tr)
		t.harmless[tr] = now
		for _, b := range t.blames {
			delete(b.traits, tr)
		}
		cleared = true
	}
	return cleared
}

// Update takes over the traits that any entry blames, and the quarantines in force. It returns
// the quarantines that are new.
func (t *Tracker) Update(now time.Time, v *saddleview.View) []*saddlewire.Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.watched
	t.watched = make(map[fireflysaddle.Trait]time.Time, len(v.Blamed))
	for _, tr := range v.Blamed {
		t.watch(now, fireflysaddle.Trait(tr))
	}
	for _, b := range t.blames {
		for tr := range b.traits {
			t.watch(now, tr)
		}
	}
	for tr := range t.watched {
		if since, ok := before[tr]; ok {
			t.watched[tr] = since
		}
	}
	var begun []*saddlewire.Quarantine
	for _, q := range v.Quarantines {
		if !slices.ContainsFunc(t.quarantines, func(known *saddlewire.Quarantine) bool { return slices.Equal(known.GetTraits(), q.GetTraits()) }) {
			begun = append(begun, q)
		}
	}
	t.quarantines = v.Quarantines
	return begun
}

// Idle reports whether no trait is blamed or in quarantine, so that the traits of requests make
// no difference.
func (t *Tracker) Idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantines)+len(t.watched) == 0
}

// Refused returns until when requests with some traits are refused, if they are.
func (t *Tracker) Refused(now time.Time, traits []fireflysaddle.Trait) (until time.Time, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range t.quarantines {
		end := time.UnixMilli(q.GetUntilMs())
		missing := func(tr string) bool { return !slices.Contains(traits, fireflysaddle.Trait(tr)) }
		if now.Before(end) && len(q.GetTraits()) > 0 && !slices.ContainsFunc(q.GetTraits(), missing) {
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
	for _, target := range slices.Sorted(maps.Keys(t.blames)) {
		b := t.blames[target]
		traits := sorted(b.traits)
		if len(traits) == 0 {
			continue
		}
		out := &saddlewire.Blame{Target: target, Traits: traits, EndedMsAgo: millisecondsSince(now, b.endedAt)}
		for _, tr := range traits {
			out.SentMsAgo = append(out.SentMsAgo, millisecondsSince(now, b.traits[fireflysaddle.Trait(tr)]))
		}
		m.Blames = append(m.Blames, out)
	}
	m.Harmless = sorted(t.harmless)
	m.Quarantines = t.quarantines
}

// millisecondsSince returns the milliseconds since a time, which is no older than a blame is
// reported and a request may take.
func millisecondsSince(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

func sorted[V any](traits map[fireflysaddle.Trait]V) []string {
	var out []string
	for tr := range traits {
		out = append(out, string(tr))
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
	maps.DeleteFunc(t.harmless, func(_ fireflysaddle.Trait, at time.Time) bool { return now.Sub(at) >= reportTime })
}
