package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// IdleFirstEvent returns the time from the send of a request to its first event if the engines
// of a chain run nothing else, 0 for the target of a plain service.
func (f *Fleet) IdleFirstEvent(c Chain, promptTokens int) time.Duration {
	if c.reserved == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	model, total := c.reserved.model, time.Duration(0)
	for _, p := range c.reserved.parts {
		acc := model.Accelerators[fireflysaddle.Accelerator(p.target.reg.GetAccelerator())]
		layers := p.to - p.from
		total += model.PrefillTime(acc, layers, promptTokens) + model.StepTime(acc, layers) + time.Duration(hopCostNS)
	}
	return total
}
