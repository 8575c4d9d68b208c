package saddlehttpclient_test

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlehttpclient"
)

// Guards against headers that are each within their bound taking more memory together than there
// is, by their bytes or by the number of their lines, and against memory that is not returned.
func TestHeadersAreBoundedInSum(t *testing.T) {
	const answers, rounds = 100, 2 // in the second one what the first one held has been returned
	for name, filler := range map[string]string{
		"one line": "X: " + strings.Repeat("x", 48<<10) + "\r\n",
		"lines":    strings.Repeat("X: x\r\n", 8<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, cleanup := saddlehttpclient.NewWithin(saddlebudget.New(saddlebudget.DefaultMemory))
			defer func() { _ = cleanup() }()
			large := newTarget(t, slices.Repeat([]func(net.Conn, *http.Request){respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + filler + "Content-Length: 2\r\n\r\nok")}, rounds*answers)...)
			ordinary := newTarget(t, slices.Repeat([]func(net.Conn, *http.Request){respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + strings.Repeat("X-Name: "+strings.Repeat("x", 54)+"\r\n", 27) + "Content-Length: 2\r\n\r\nok")}, rounds)...)
			for range rounds {
				refused := holdHeaders(t, client, large, answers, func() {
					_, err := send(t, client, ordinary.lis.Addr().String(), "one")
					is.NoErr(err)
				})
				is.True(refused > 0)
				is.True(refused < answers)
			}
		})
	}
}

// holdHeaders gets n answers, calls meanwhile while it holds them, and returns how many were
// refused.
func holdHeaders(t *testing.T, client *saddlehttpclient.Client, s *fakeTarget, n int, meanwhile func()) (refused int) {
	t.Helper()
	for range n {
		r := request(s.lis.Addr().String(), "one")
		r.NewConn = true
		resp, err := client.Do(t.Context(), time.Now(), r)
		var exhausted *saddlebudget.ExhaustedError
		var failed *fireflysaddle.TargetError
		if errors.As(err, &exhausted) && errors.As(err, &failed) {
			refused++
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
	}
	meanwhile()
	return refused
}

// Guards against the first bytes of a body that arrive with its header counting as header.
func TestBodyIsNoPartOfTheHeaderThatIsBounded(t *testing.T) {
	is := is.New(t)
	client, cleanup := saddlehttpclient.NewWithin(saddlebudget.New(0)) // base shares only
	defer func() { _ = cleanup() }()
	body := strings.Repeat(": x\n", 1<<10)
	s := newTarget(t, respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 4096\r\n\r\n"+body))
	got, err := send(t, client, s.lis.Addr().String(), "one")
	is.NoErr(err)
	is.Equal(got, body)
}
