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
		budget.First()
		for budget.Retry() {
			retries++
		}
	}
	is.True(retries >= 100)
	is.True(retries <= 105)
}

func TestAnIdleBudgetSavesNoMoreThanItsReserve(t *testing.T) {
	is := is.New(t)
	budget := saddleretry.NewBudget(0.1, 5)
	for range 10000 {
		budget.First()
	}
	retries := 0
	for budget.Retry() {
		retries++
	}
	is.Equal(retries, 5)
}
