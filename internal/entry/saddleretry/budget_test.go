package saddleretry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

func TestRetriesAreBoundedByShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	budget := saddleretry.NewBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.RecordFirstAttempt()
		retries += takeAll(budget)
	}
	is.True(retries >= 100)
	is.True(retries <= 105)
}

func TestBudgetIsCappedAtReserve(t *testing.T) {
	is := is.New(t)
	budget := saddleretry.NewBudget(0.1, 5)
	for range 10000 {
		budget.RecordFirstAttempt()
	}
	is.Equal(takeAll(budget), 5)
}

// takeAll takes retries until the budget is exhausted and returns their number.
// The limit ends the loop if the budget is not bounded.
func takeAll(budget *saddleretry.Budget) int {
	const limit = 1000
	n := 0
	for n < limit && budget.TakeRetry() {
		n++
	}
	return n
}
