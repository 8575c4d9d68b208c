package saddledaemon_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Pattern: a new configuration comes into force, and a hundred entries fetch it at the same
// moment. Each asks the replica of its data centre first, and those without one are spread
// over the replicas.
func TestFetchesOfRoutingAreSpread(t *testing.T) {
	is := is.New(t)
	v := &saddleview.View{Members: map[string]*saddlewire.Member{}}
	for _, centre := range []string{"a", "b", "c", "d"} {
		address := "10.0.0." + centre + ":7340"
		v.RoutingSources = append(v.RoutingSources, address)
		v.Members["control-"+centre] = &saddlewire.Member{Role: "control", Centre: centre, Address: address}
	}
	first := map[string]int{}
	for i := range 100 {
		order := saddledaemon.RoutingSourceOrder(v, fmt.Sprint("front-a-", i), "a")
		is.Equal(len(order), 4)
		is.Equal(order[0], "10.0.0.a:7340")
		first[saddledaemon.RoutingSourceOrder(v, fmt.Sprint("front-e-", i), "e")[0]]++
	}
	is.Equal(len(first), 4)
	for _, n := range first {
		is.True(n <= 40)
	}
	is.Equal(len(saddledaemon.RoutingSourceOrder(&saddleview.View{}, "front-a-1", "a")), 0)
}
