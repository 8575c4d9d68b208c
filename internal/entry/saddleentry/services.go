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
	requestMeta
	group       string
	version     string
	method      string
	path        string
	contentType string
	body        []byte
}

// callReply is the answer to a call. replayed is true if the answer is that of an
// earlier request with the same key.
type callReply struct {
	answer   *saddlewire.Answer
	replayed bool
}

// digest returns a hash of the call's content, by which the reuse of a key for a
// different call is detected.
func (c call) digest() string {
	h := sha256.New()
	for _, part := range []string{c.group, c.method, c.path, c.contentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

// handleService serves a request to a plain service.
func (s *Server) handleService(c echo.Context) error {
	countRequests.Add(1)
	now := time.Now()
	meta, err := s.identify(now, c)
	if err != nil {
		return asFailure(err).write(c)
	}
	in, err := readCall(c, meta)
	if err != nil {
		return asFailure(err).write(c)
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "call_received", Request: meta.request, Subject: meta.deployment.GetWorkspace()})
	ctx, cancel := s.end.requestContext(c.Request().Context(), meta.deadline)
	defer cancel()
	out, err := s.runCall(ctx, in)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "call_end", Request: meta.request, Detail: outcomeName(err)})
	if err != nil {
		return asFailure(err).write(c)
	}
	countAnswers.Add(1)
	if out.replayed {
		countReplayedAnswers.Add(1)
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return c.Blob(int(out.answer.GetStatus()), out.answer.GetContentType(), out.answer.GetBody())
}

func readCall(c echo.Context, meta requestMeta) (call, error) {
	r := c.Request()
	group := c.Param("group")
	g, err := grant(meta.deployment, fireflysaddle.KindService, group)
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
		requestMeta: meta,
		group:       group,
		version:     g.GetVersion(),
		method:      r.Method,
		path:        path,
		contentType: r.Header.Get(echo.HeaderContentType),
		body:        body,
	}, nil
}

// runCall runs a call according to its method and idempotency key. Errors are of type
// *failure.
func (s *Server) runCall(ctx context.Context, c call) (callReply, error) {
	s.recordFirstAttempt()
	switch {
	case saddleagent.Idempotent(c.method):
		return s.runIdempotent(ctx, c)
	case c.key != "":
		return s.runKeyed(ctx, c)
	}
	return s.runUnkeyed(ctx, c)
}

// requirements returns the routing requirements of a call.
func (c call) requirements() saddleroute.Requirements {
	return saddleroute.Requirements{
		Group:   c.group,
		Version: c.version,
		Kind:    fireflysaddle.KindService,
		Work:    fireflysaddle.Work{MaxTokens: 1},
		Avoid:   map[fireflysaddle.TargetID]bool{},
	}
}

// runIdempotent runs an idempotent call, which may be retried after any failure.
func (s *Server) runIdempotent(ctx context.Context, c call) (callReply, error) {
	requirements := c.requirements()
	var lastErr error
	mayHaveRun := false
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, requirements, n, lastErr)
		if err != nil {
			return callReply{}, idempotentFailure(err, mayHaveRun)
		}
		answer, err := s.tryCall(ctx, c, n, stage, requirements.Avoid)
		if err == nil {
			return callReply{answer: answer}, nil
		}
		lastErr = err
		mayHaveRun = mayHaveRun || !provesNotRun(err)
		if ctx.Err() != nil || !s.prepareRetry(ctx, err) {
			break
		}
	}
	return callReply{}, idempotentFailure(lastErr, mayHaveRun)
}

// idempotentFailure converts the last error of an idempotent call into the failure
// for the caller. It reports the call as not run only if none of the attempts may have
// run.
func idempotentFailure(err error, mayHaveRun bool) error {
	f := asFailure(callFailure(err))
	if mayHaveRun {
		f.ExecutionStatus = fireflysaddle.ExecutionUnknown
		f.RetryAfter = max(f.RetryAfter, defaultRetryAfter)
	}
	return f
}

// runUnkeyed runs a non-idempotent call without a key. An attempt is retried only if
// it is proved not to have run.
func (s *Server) runUnkeyed(ctx context.Context, c call) (callReply, error) {
	requirements := c.requirements()
	var lastErr error
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, requirements, n, lastErr)
		if err != nil {
			return callReply{}, callFailure(err)
		}
		sentAt := time.Now()
		answer, err := s.tryCall(ctx, c, n, stage, requirements.Avoid)
		if err != nil {
			answer, err = s.resolveOutcome(ctx, c, newClaim(c, n, stage), sentAt, err)
		}
		if err == nil {
			return callReply{answer: answer}, nil
		}
		lastErr = err
		if !provesNotRun(err) || !s.prepareRetry(ctx, err) {
			break
		}
	}
	return callReply{}, callFailure(lastErr)
}

// prepareRetry reports whether another attempt may follow. After a refusal with
// CodeStaleRevision it waits for the newer configuration; otherwise it takes a retry
// from the budget.
func (s *Server) prepareRetry(ctx context.Context, err error) bool {
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

// provesNotRun reports whether err proves that the attempt was not run.
func provesNotRun(err error) bool {
	var unsent *fireflysaddle.NotSentError
	return isRefusal(err) || errors.As(err, &unsent)
}

// callFailure converts the last error of a call into the failure for the caller.
func callFailure(err error) error {
	var f *failure
	var refused *fireflysaddle.RefusedError
	var unsent *fireflysaddle.NotSentError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refused):
		return refusalFailure(refused)
	case errors.As(err, &unsent):
		return notRunFailure(fireflysaddle.CodeUnreachable, unsent.Error(), defaultRetryAfter)
	}
	return &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: err.Error(), ExecutionStatus: fireflysaddle.ExecutionUnknown}
}
