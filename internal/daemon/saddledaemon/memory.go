package saddledaemon

import (
	"runtime/debug"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

// runtimeShare is the share of a process's memory above which the Go runtime collects garbage
// more often. The rest is for the program itself and for what a collection leaves.
const runtimeShare = 0.75

// newBudget returns the budget for the memory in the settings and limits the memory of the Go
// runtime. restore restores that limit.
func newBudget(s saddlesettings.Gateway) (budget *saddlebudget.Budget, restore func()) {
	before := debug.SetMemoryLimit(-1) // reads it
	budget = saddlebudget.New(saddlebudget.DefaultMemory)
	setMemory(budget, s)
	return budget, func() { debug.SetMemoryLimit(before) }
}

// setMemory applies the memory in the settings.
func setMemory(budget *saddlebudget.Budget, s saddlesettings.Gateway) {
	memory := s.MemoryMB * float64(saddlebudget.MiB)
	budget.SetMemory(saddlebudget.Size(memory))
	debug.SetMemoryLimit(int64(runtimeShare * memory))
}
