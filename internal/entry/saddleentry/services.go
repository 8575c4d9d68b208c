package saddleentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleagent"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const servicePrefix = "/services/"

// call is a request to a plain service.
type call struct {
	caller
	group       string
	version     string
	method      string
	path        string
	contentType string
	body        []byte
}

// reply is the answer to a call; replayed says that it was recorded earlier.
type reply struct {
	answer   *saddlewire.Answer
	replayed bool
}

// digest identifies what is asked, so that a key is not used for two things.
func (c call) digest() string {
	h := sha256.New()
	for _, part := range []string{c.group, c.method, c.path, c.contentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// handleService answers a request to a plain service.
func (s *Server) handleService(c echo.Context) error {
	countRequests.Add(1)
	now := time.Now()
	who, err := s.identify(now, c)
	if err != nil {
		return asFailure(err).write(c)
	}
	in, err := readCall(c, who)
	if err != nil {
		return asFailure(err).write(c)
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "call_received", Request: who.request, Subject: who.deployment.GetWorkspace()})
	ctx, cancel := context.WithDeadline(c.Request().Context(), who.deadline)
	defer cancel()
	out, err := s.runCall(ctx, in)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "call_end", Request: who.request, Detail: outcome(err)})
	if err != nil {
		return asFailure(err).write(c)
	}
	countAnswered.Add(1)
	if out.replayed {
		countReplayed.Add(1)
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return c.Blob(int(out.answer.GetStatus()), out.answer.GetContentType(), out.answer.GetBody())
}

func readCall(c echo.Context, who caller) (call, error) {
	r := c.Request()
	group := c.Param("group")
	g, err := grant(who.deployment, fireflysaddle.KindService, group)
	if err != nil {
		return call{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return call{}, bodyFailure(err)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+group)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return call{
		caller:      who,
		group:       group,
		version:     g.GetVersion(),
		method:      r.Method,
		path:        path,
		contentType: r.Header.Get(echo.HeaderContentType),
		body:        body,
	}, nil
}

// runCall runs a call in the way that its method and key ask for. An error is
// a *failure.
func (s *Server) runCall(ctx context.Context, c call) (reply, error) {
	s.countFirst()
	switch {
	case saddleagent.Repeatable(c.method):
		return s.runRepeatable(ctx, c)
	case c.key != "":
		return s.runClaimed(ctx, c)
	}
	return s.runOnce(ctx, c)
}

// need returns what a call needs of its target.
func (c call) need() saddleroute.Requirements {
	return saddleroute.Requirements{
		Group:   c.group,
		Version: c.version,
		Kind:    fireflysaddle.KindService,
		Work:    fireflysaddle.Work{MaxTokens: 1},
		Avoid:   map[fireflysaddle.TargetID]bool{},
	}
}

// runRepeatable runs a call that may be run again after any failure.
func (s *Server) runRepeatable(ctx context.Context, c call) (reply, error) {
	need := c.need()
	var last error
	ran := false // an attempt may have been run
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, need, n, last)
		if err != nil {
			return reply{}, lookupFailure(err, ran)
		}
		answer, err := s.tryCall(ctx, c, n, stage, need.Avoid)
		if err == nil {
			return reply{answer: answer}, nil
		}
		last = err
		ran = ran || !isNotRun(err)
		if ctx.Err() != nil || !s.mayRetry(ctx, err) {
			break
		}
	}
	return reply{}, lookupFailure(last, ran)
}

// lookupFailure turns the last error of a call that may be repeated into the
// caller's answer: the call was not run only if none of its attempts was.
func lookupFailure(err error, ran bool) error {
	f := asFailure(callFailure(err))
	if ran {
		f.ExecutionStatus = fireflysaddle.ExecutionUnknown
		f.RetryAfter = max(f.RetryAfter, noTargetRetry)
	}
	return f
}

// runOnce runs a call that may not be repeated and has no key. Only an attempt
// that is proved not to have been run is followed by another.
func (s *Server) runOnce(ctx context.Context, c call) (reply, error) {
	need := c.need()
	var last error
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, need, n, last)
		if err != nil {
			return reply{}, callFailure(err)
		}
		sent := time.Now()
		answer, err := s.tryCall(ctx, c, n, stage, need.Avoid)
		if err != nil {
			answer, err = s.settle(ctx, c, claimOf(c, n, stage), sent, err)
		}
		if err == nil {
			return reply{answer: answer}, nil
		}
		last = err
		if !isNotRun(err) || !s.mayRetry(ctx, err) {
			break
		}
	}
	return reply{}, callFailure(last)
}

// mayRetry reports whether another attempt may follow.
func (s *Server) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeStaleRevision {
		s.awaitRevision(ctx)
		return true
	}
	if !s.takeRetry() {
		return false
	}
	countRetries.Add(1)
	return true
}

// isNotRun reports whether an error proves that an attempt was not run.
func isNotRun(err error) bool {
	var unsent *fireflysaddle.NotSentError
	return isRefusal(err) || errors.As(err, &unsent)
}

// callFailure turns the last error of a call into the caller's answer.
func callFailure(err error) error {
	var f *failure
	var refused *fireflysaddle.RefusedError
	var unsent *fireflysaddle.NotSentError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refused):
		return notRunBy(refused)
	case errors.As(err, &unsent):
		return notRun(fireflysaddle.CodeUnreachable, unsent.Error(), noTargetRetry)
	}
	return &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: err.Error(), ExecutionStatus: fireflysaddle.ExecutionUnknown}
}
