package saddlefleet

import "github.com/fireflysaddle/fireflysaddle"

// maxLeavers bounds the targets that are remembered as leaving without being registered.
const maxLeavers = 4096

// RecordLeaving records that a target announced that it is leaving, in its answer to a
// request or, if request is empty, to a probe. This incarnation of the target gets no
// further requests, whatever its registration says; requests in progress are not affected.
func (f *Fleet) RecordLeaving(t Target, request fireflysaddle.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announcedLeaving(t) {
		return
	}
	if len(f.leavers) >= maxLeavers {
		f.forgetLeavers(func(id fireflysaddle.TargetID) bool { return f.targets[id] == nil })
	}
	f.leavers[t.ID] = t.incarnation
	if current, ok := f.targets[t.ID]; ok && current.incarnation == t.incarnation {
		f.remove(current)
	}
	countLeaving.Add(1)
	f.log.Info().Str("request", string(request)).Str("target", string(t.ID)).Str("address", t.Address).
		Uint64("target_incarnation", t.incarnation).Msg("target announced that it is leaving")
}

// announcedLeaving reports whether RecordLeaving was called for this incarnation.
func (f *Fleet) announcedLeaving(t Target) bool {
	incarnation, ok := f.leavers[t.ID]
	return ok && incarnation == t.incarnation
}

// forgetLeavers removes the remembered targets for which forget returns true.
func (f *Fleet) forgetLeavers(forget func(id fireflysaddle.TargetID) bool) {
	for id := range f.leavers {
		if forget(id) {
			delete(f.leavers, id)
		}
	}
}
