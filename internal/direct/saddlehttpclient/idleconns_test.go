package saddlehttpclient_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: twenty streams at a time of one head. Their connections serve the twenty that
// follow, as far as the target has room for idle ones.
func TestConnectionsOfStreamsAreKeptByWhatTheTargetAccepts(t *testing.T) {
	const streams = 20
	for name, c := range map[string]struct{ bound, conns int }{
		"not stated":     {0, streams + streams - 6},
		"room for all":   {streams, streams},
		"shared by many": {2, streams + streams - 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTarget(t)
			for range 2 * streams {
				s.steps = append(s.steps, respond(answer("ok")))
			}
			client := newClient(t)
			var serve func(n int) // n requests at a time
			serve = func(n int) {
				if n == 0 {
					return
				}
				r := request(s.lis.Addr().String(), "one")
				r.IdleConns = c.bound
				resp, err := client.Do(t.Context(), time.Now(), r)
				is.NoErr(err)
				serve(n - 1)
				is.NoErr(resp.Body.Close())
			}
			serve(streams)
			serve(streams)
			_, conns := s.received()
			is.Equal(conns, c.conns)
		})
	}
}
