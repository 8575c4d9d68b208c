package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	usualSpread   = 0  // 100 times the standard deviation of the estimates' logarithm
	farFactor     = 10 // by which some estimates are too low, with FAR
	maxRetryAfter = time.Second
	redialDelay   = 50 * time.Millisecond
)

// stream is what a caller got of a request.
type stream struct {
	id         string
	vm         *vm
	sentAt     time.Time // the last byte of the request
	endedAt    time.Time
	reused     bool // sent over a kept connection
	sent       bool
	status     int
	events     int
	want       int
	complete   bool
	err        error
	retryAfter time.Duration
}

// refused reports whether the caller got a whole answer that is no success.
func (t *stream) refused() bool { return t.status != 0 && t.status != http.StatusOK }

// call sends requests to a machine over a kept connection, the next one as soon as an answer
// ends. A loyal caller returns to the machine after a refusal. Others go to another one for
// a request, as all do while the machine has no listener.
func (s *series) call(ctx context.Context, home *vm, rng *rand.Rand, loyal bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	v := home
	for ctx.Err() == nil {
		t := s.send(client, v, rng)
		s.mu.Lock()
		s.streams = append(s.streams, t)
		s.mu.Unlock()
		next := home
		switch {
		case t.complete:
		case t.refused():
			time.Sleep(min(t.retryAfter, maxRetryAfter))
			if !loyal {
				next = s.c.vms[rng.IntN(len(s.c.vms))]
			}
		default:
			time.Sleep(redialDelay)
			next = s.c.vms[rng.IntN(len(s.c.vms))]
		}
		v = next
	}
}

// hint draws a caller's estimate of a number of tokens.
func (s *series) hint(tokens int, rng *rand.Rand) int {
	n := float64(tokens) * math.Exp(float64(s.spread)/100*rng.NormFloat64())
	if rng.IntN(100) < s.farPercent {
		n /= farFactor
	}
	return max(1, int(n))
}

// send sends a request and reads its events.
func (s *series) send(client *http.Client, v *vm, rng *rand.Rand) *stream {
	out := &stream{id: newID(), vm: v, want: s.lengths(rng), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), draftBudget)
	defer cancel()
	var sentAt atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { out.reused = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				sentAt.Store(time.Now().UnixNano())
			}
		},
	})
	defer func() {
		out.endedAt = time.Now()
		if at := sentAt.Load(); at != 0 {
			out.sent, out.sentAt = true, time.Unix(0, at)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.c.address(v, s.c.ports.front)+draftPath+out.id, strings.NewReader(strconv.Itoa(out.want)))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	hint := s.hint(tokensPerEvent*out.want, rng)
	for name, value := range map[string]string{
		header("request"): out.id, "Model": "m", header("tokens"): fmt.Sprintf("760,%d", tokensPerEvent*maxEvents), header("hint"): strconv.Itoa(hint),
		header("prompt"): "5c1e07a2:700,e4402b7d:60", header("budget"): strconv.FormatInt(draftBudget.Milliseconds(), 10), header("key"): callerKey,
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.read(resp)
	return out
}

// read reads the events of an answer.
func (t *stream) read(resp *http.Response) {
	t.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if lines.Text() == fmt.Sprintf("id: %d", t.events+1) {
			t.events++
		}
	}
	t.err = lines.Err()
	t.complete = t.err == nil && t.status == http.StatusOK && t.events == t.want
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
