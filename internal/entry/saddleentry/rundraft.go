package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

const (
	maxAttempts        = 8
	maxTargetWait      = 5 * time.Second       // limit of the wait for a target after a failed attempt
	targetPollInterval = 20 * time.Millisecond // pause between attempts to select a target
	minAvoidDuration   = 20 * time.Millisecond
	maxAvoidDuration   = time.Second
	defaultRetryAfter  = 2 * time.Second // Retry-After of failures that do not specify one
)

// draft is a text generation request.
type draft struct {
	requestMeta
	model     string
	version   string
	prompt    string
	maxTokens uint32
}

// runDraft runs a draft with up to maxAttempts attempts. It calls emit once for each
// token, in order, across all attempts. Errors are of type *failure.
func (s *Server) runDraft(ctx context.Context, d draft, emit func(string) error) error {
	s.recordFirstAttempt()
	prefixes, words := saddleroute.Prefixes(d.prompt)
	requirements := saddleroute.Requirements{
		Group:    d.model,
		Version:  d.version,
		Kind:     fireflysaddle.KindEngine,
		Work:     fireflysaddle.Work{PromptTokens: words, MaxTokens: int(d.maxTokens)},
		Prefixes: prefixes,
		Avoid:    map[fireflysaddle.TargetID]bool{},
	}
	var delivered []string
	onToken := func(text string) error {
		delivered = append(delivered, text)
		countTokens.Add(1)
		if err := emit(text); err != nil {
			return &callerDisconnectedError{err: err}
		}
		return nil
	}
	var lastErr error
	status := fireflysaddle.NotExecuted
	for n := uint32(1); n <= maxAttempts; n++ {
		chain, err := s.awaitChain(ctx, requirements, n, lastErr)
		if err != nil {
			return draftFailure(err, status)
		}
		lastErr = s.tryDraft(ctx, d, attempt{number: n, chain: chain, spares: s.spares(chain, requirements), delivered: delivered, replaced: map[fireflysaddle.TargetID]bool{}}, requirements.Avoid, onToken)
		if lastErr == nil || s.isComplete(lastErr, d, delivered) {
			return nil
		}
		status = executionStatusAfter(status, lastErr, len(delivered))
		if s.end.refusedForShutdown(d.deadline, lastErr) {
			return endingFailure(status)
		}
		if final := s.finalDraftError(ctx, lastErr, status); final != nil {
			return final
		}
		countRetries.Add(1)
	}
	return draftFailure(lastErr, status)
}

// isComplete reports whether the caller has every token although the attempt failed,
// in which case only the end-of-stream event was lost.
func (s *Server) isComplete(err error, d draft, delivered []string) bool {
	var disconnected *callerDisconnectedError
	return uint32(len(delivered)) >= d.maxTokens && !errors.As(err, &disconnected)
}

// executionStatusAfter returns the execution status of a draft after another failed
// attempt, given its previous status and the number of tokens delivered so far.
func executionStatusAfter(previous fireflysaddle.ExecutionStatus, err error, delivered int) fireflysaddle.ExecutionStatus {
	switch {
	case delivered > 0:
		return fireflysaddle.Executed
	case provesNotRun(err):
		return previous
	}
	return fireflysaddle.ExecutionUnknown
}

// avoidDuration returns how long attempt n waits for another target before it may use
// a target that failed before. The duration doubles with each attempt up to
// maxAvoidDuration, so that the attempts are not exhausted before the replacement of a
// lost target is known.
func avoidDuration(n uint32) time.Duration {
	return min(minAvoidDuration<<min(n-1, 16), maxAvoidDuration)
}

// targetDeadline returns the time until which a request waits for a target after its
// last error. A first attempt does not wait. An attempt after an overload refusal does
// not wait either, because that refusal tells the caller when to retry.
func targetDeadline(now time.Time, lastErr error) time.Time {
	var refused *fireflysaddle.RefusedError
	if lastErr == nil || (errors.As(lastErr, &refused) && refused.Code == fireflysaddle.CodeOverloaded) {
		return now
	}
	return now.Add(maxTargetWait)
}

// noTargetError returns lastErr's refusal if the last attempt was refused, and otherwise
// a refusal with CodeNoTarget.
func noTargetError(requirements saddleroute.Requirements, lastErr error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(lastErr, &refused) {
		return refused
	}
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoTarget,
		Message:    "no target of " + requirements.Group + " can accept the request",
		RetryAfter: defaultRetryAfter,
	}
}

// finalDraftError returns the error for the caller after a failed attempt, or nil if
// another attempt follows. After a refusal with CodeStaleRevision it waits for the
// newer configuration; otherwise it takes a retry from the budget.
func (s *Server) finalDraftError(ctx context.Context, err error, status fireflysaddle.ExecutionStatus) error {
	var disconnected *callerDisconnectedError
	if errors.As(err, &disconnected) || ctx.Err() != nil {
		return draftFailure(err, status)
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeStaleRevision {
		s.awaitRevision(ctx)
		return nil
	}
	if s.takeRetry() {
		return nil
	}
	return draftFailure(err, status)
}

// awaitRevision requests the newer configuration and waits briefly for it to arrive.
func (s *Server) awaitRevision(ctx context.Context) {
	s.subscriber.SendHeartbeats()
	select {
	case <-ctx.Done():
	case <-time.After(targetPollInterval):
	}
}

// draftFailure converts the last error of a draft into the failure for the caller.
// status is the execution status of the draft over all its attempts.
func draftFailure(err error, status fireflysaddle.ExecutionStatus) error {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var refused *fireflysaddle.RefusedError
	switch {
	case errors.As(err, &refused):
		f := refusalFailure(refused)
		f.ExecutionStatus = status
		return f
	case errors.Is(err, errEnding):
		return endingFailure(status)
	case errors.Is(err, context.DeadlineExceeded):
		return &failure{Code: fireflysaddle.CodeDeadline, Message: "the deadline passed", ExecutionStatus: status, RetryAfter: defaultRetryAfter}
	}
	return &failure{Code: fireflysaddle.CodeTargetFailed, Message: err.Error(), ExecutionStatus: status, RetryAfter: defaultRetryAfter}
}

func (s *Server) recordFirstAttempt() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.RecordFirstAttempt()
}

func (s *Server) takeRetry() bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.TakeRetry()
}

// traceAttempt records an event of an attempt in the timeline.
func (s *Server) traceAttempt(now time.Time, name string, meta requestMeta, number uint32, target fireflysaddle.TargetID) {
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: name, Request: meta.request, Attempt: number, Target: string(target)})
}
