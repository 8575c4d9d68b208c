package saddlebudget_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

const (
	memory = 160 * saddlebudget.MiB
	growth = memory / 10 // what answers may hold beyond their base shares
	event  = 256 * saddlebudget.KiB
)

// flood lets answers of a target grow until the budget refuses, and returns what they hold beyond
// their base shares.
func flood(t *testing.T, b *saddlebudget.Budget, address string) (held saddlebudget.Size, release func()) {
	t.Helper()
	var releases []func()
	for {
		share, release := b.Open(address)
		releases = append(releases, release)
		for n := saddlebudget.Size(0); n < event; n += saddlebudget.KiB {
			err := share.Grow(saddlebudget.KiB)
			var exhausted *saddlebudget.ExhaustedError
			if errors.As(err, &exhausted) {
				if exhausted.Address != address || exhausted.Held > growth {
					t.Errorf("unexpected error %v", err)
				}
				return exhausted.Held, func() {
					for _, r := range releases {
						r()
					}
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against targets that send without end leaving no memory for the answers of others, also
// where each takes all that it can before the next one begins.
func TestFloodingTargetsLeaveRoomForOthers(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10} {
		t.Run(fmt.Sprintf("%d flooding targets", n), func(t *testing.T) {
			is := is.New(t)
			b := saddlebudget.New(memory)
			free := growth
			for i := range n {
				held, release := flood(t, b, fmt.Sprintf("flooding-%d", i))
				defer release()
				is.True(held <= free/4)
				free -= held
			}
			share, release := b.Open("sound")
			defer release()
			is.NoErr(share.Grow(event))
		})
	}
}

// Guards against ordinary answers being refused because others take all there is.
func TestBaseShareIsAlwaysGranted(t *testing.T) {
	is := is.New(t)
	b := saddlebudget.New(memory)
	for i := range 1000 {
		_, release := flood(t, b, fmt.Sprintf("flooding-%d", i))
		defer release()
	}
	for range 1500 {
		share, release := b.Open("flooding-0")
		defer release()
		is.NoErr(share.Grow(saddlebudget.BaseShare))
		var exhausted *saddlebudget.ExhaustedError
		is.True(errors.As(share.Grow(event), &exhausted))
		is.Equal(exhausted.Address, "flooding-0")
	}
}

// Guards against memory that is never returned, or returned twice, when answers end.
func TestEndedAnswersReturnTheirMemory(t *testing.T) {
	is := is.New(t)
	b := saddlebudget.New(memory)
	first, release := flood(t, b, "target")
	release()
	release()
	second, release := flood(t, b, "target")
	release()
	is.Equal(first, second)
	is.True(second <= growth/5)
	is.True(second >= growth/5-event)
}

// Guards against a refused reservation that is counted all the same.
func TestRefusedGrowthHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := saddlebudget.New(memory)
	share, release := b.Open("target")
	defer release()
	is.True(share.Grow(memory) != nil)
	is.NoErr(share.Grow(event))
	other, releaseOther := b.Open("other")
	defer releaseOther()
	is.NoErr(other.Grow(event))
}

// Guards against more requests than the memory suffices for, and against requests that ended
// keeping others out.
func TestRequestsAreAdmittedWithinTheMemory(t *testing.T) {
	is := is.New(t)
	b := saddlebudget.New(memory)
	var leave []func()
	for {
		release, ok := b.Admit()
		if !ok {
			break
		}
		leave = append(leave, release)
	}
	is.True(len(leave) >= 1500) // callers of the report, undisturbed
	leave[0]()
	leave[0]()
	_, ok := b.Admit()
	is.True(ok)
	_, ok = b.Admit()
	is.True(!ok)
	b.SetMemory(2 * memory)
	_, ok = b.Admit()
	is.True(ok)
}
