package saddleplacer

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// logLost logs when an engine begins or ceases to count as lost.
func (p *Placer) logLost(reg *saddlewire.Registration, lost bool, suspecting int) {
	id := fireflysaddle.TargetID(reg.GetId())
	incarnation, was := p.lost[id]
	was = was && incarnation == reg.GetIncarnation()
	if lost == was {
		return
	}
	e := p.cfg.Log.Info().Str("target", reg.GetId()).Str("address", reg.GetAddress()).Str("centre", reg.GetCentre()).
		Uint64("target_incarnation", reg.GetIncarnation()).Int("suspecting_entries", suspecting)
	if lost {
		p.lost[id] = reg.GetIncarnation()
		e.Msg("engine counts as lost: others take over its layers")
		return
	}
	delete(p.lost, id)
	e.Msg("engine no longer counts as lost")
}

// logForeign logs, once for each incarnation, that an engine is not used because it reports
// layers that its model does not have.
func (p *Placer) logForeign(pool *saddlerouting.Pool, reg *saddlewire.Registration) {
	id := fireflysaddle.TargetID(reg.GetId())
	if incarnation, ok := p.foreign[id]; ok && incarnation == reg.GetIncarnation() {
		return
	}
	p.foreign[id] = reg.GetIncarnation()
	p.cfg.Log.Warn().Str("target", reg.GetId()).Str("group", reg.GetGroup()).Str("address", reg.GetAddress()).Uint64("target_incarnation", reg.GetIncarnation()).
		Interface("layers", reg.GetLayers()).Int("model_layers", pool.Model.Layers).Msg("engine reports layers that its model does not have: not used")
}

// logCapacities logs the token capacity of the data centres in which it has changed.
func (p *Placer) logCapacities(pool *saddlerouting.Pool, engines []saddleplan.Engine) {
	logged := p.capacities[pool.Group]
	p.capacities[pool.Group] = map[fireflysaddle.DataCentre]int{}
	for centre, c := range saddleplan.Capacities(pool.Model, engines) {
		p.capacities[pool.Group][centre] = c.Tokens
		if before, ok := logged[centre]; ok && before == c.Tokens {
			continue
		}
		p.cfg.Log.Info().Str("group", string(pool.Group)).Str("centre", string(centre)).Int("tokens", c.Tokens).Int("before", logged[centre]).
			Int("from", c.Layers.From).Int("to", c.Layers.To).Int("empty_engines", c.Empty).Msg("token capacity of a data centre changed")
	}
}
