package saddlerouting_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// The idle connections of all entries to one target must not grow with the entries.
func TestIdleConnectionsOfAllEntriesLeaveRoom(t *testing.T) {
	for _, accepted := range []int{50, 260, 1128} {
		p := saddlerouting.Pool{MaxConnections: accepted}
		for entries := 1; 2*entries <= accepted*3/4; entries++ {
			t.Run(fmt.Sprint(accepted, " of ", entries, " entries"), func(t *testing.T) {
				is := is.New(t)
				is.True(p.IdleConns(entries)*entries <= accepted*3/4)
				is.True(p.IdleConns(entries) >= 2)
			})
		}
	}
	is := is.New(t)
	is.Equal((&saddlerouting.Pool{}).IdleConns(7), 0)
}
