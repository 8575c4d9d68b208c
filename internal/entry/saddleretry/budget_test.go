package saddleretry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

func TestRetriesStayWithinAShareOfTheFirstAttempts(t *testing.T) {
	is := is.New(t)
	budget := saddleretry.NewBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.RecordFirstAttempt()
		retries += spend(budget)
	}
	is.True(retries >= 100)
	is.True(retries <= 105)
}

func TestAnIdleBudgetSavesNoMoreThanItsReserve(t *testing.T) {
	is := is.New(t)
	budget := saddleretry.NewBudget(0.1, 5)
	for range 10000 {
		budget.RecordFirstAttempt()
	}
	is.Equal(spend(budget), 5)
}

// spend takes retries until none is left, or far too many were given.
func spend(budget *saddleretry.Budget) int {
	const tooMany = 1000
	n := 0
	for n < tooMany && budget.TakeRetry() {
		n++
	}
	return n
}
