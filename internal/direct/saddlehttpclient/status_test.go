package saddlehttpclient_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// Guards against a status that is none in HTTP, with which no answer can be written to a caller,
// being taken as an answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-00", "020 OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := newTarget(t, func(c net.Conn, r *http.Request) {
				respond("HTTP/1.1 "+status+"\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok")(c, r)
			})
			_, err := send(t, newClient(t), s.lis.Addr().String(), "one")
			var failed *fireflysaddle.TargetError
			is.True(errors.As(err, &failed))
		})
	}
}
