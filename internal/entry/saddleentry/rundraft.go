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
	maxAttempts   = 8
	patience      = 5 * time.Second       // wait for a target after an attempt failed
	pollTarget    = 20 * time.Millisecond // between looks for a target
	firstAvoid    = 20 * time.Millisecond
	maxAvoid      = time.Second
	noTargetRetry = 2 * time.Second // when to come back where there is no target
)

// draft is a request for generated text.
type draft struct {
	caller
	model     string
	version   string
	prompt    string
	maxTokens uint32
}

// runDraft runs a request to its end over as many attempts as it takes. emit
// is called once for each token in order, whatever attempt it comes from. An
// error is a *failure.
func (s *Server) runDraft(ctx context.Context, d draft, emit func(string) error) error {
	s.countFirst()
	prefixes, words := saddleroute.Prefixes(d.prompt)
	need := saddleroute.Requirements{
		Group:    d.model,
		Version:  d.version,
		Kind:     fireflysaddle.KindEngine,
		Work:     fireflysaddle.Work{PromptTokens: words, MaxTokens: int(d.maxTokens)},
		Prefixes: prefixes,
		Avoid:    map[fireflysaddle.TargetID]bool{},
	}
	var given []string
	take := func(text string) error {
		given = append(given, text)
		countTokens.Add(1)
		if err := emit(text); err != nil {
			return &callerGoneError{err: err}
		}
		return nil
	}
	var last error
	ran := fireflysaddle.NotExecuted
	for n := uint32(1); n <= maxAttempts; n++ {
		chain, err := s.awaitChain(ctx, need, n, last)
		if err != nil {
			return draftFailure(err, ran)
		}
		last = s.tryDraft(ctx, d, attempt{number: n, chain: chain, spares: s.spares(chain, need), given: given, replaced: map[fireflysaddle.TargetID]bool{}}, need.Avoid, take)
		if last == nil || s.isWhole(last, d, given) {
			return nil
		}
		ran = ranBy(ran, last, len(given))
		if final := s.finalDraft(ctx, last, ran); final != nil {
			return final
		}
		countRetries.Add(1)
	}
	return draftFailure(last, ran)
}

// isWhole reports whether the caller has every token though the attempt failed:
// then only the mark of its end was lost.
func (s *Server) isWhole(err error, d draft, given []string) bool {
	var gone *callerGoneError
	return uint32(len(given)) >= d.maxTokens && !errors.As(err, &gone)
}

// ranBy returns what is known of a draft after one more failed attempt.
func ranBy(before fireflysaddle.ExecutionStatus, err error, given int) fireflysaddle.ExecutionStatus {
	switch {
	case given > 0:
		return fireflysaddle.Executed
	case isNotRun(err):
		return before
	}
	return fireflysaddle.ExecutionUnknown
}

// avoidTime returns how long attempt n waits for another target before it goes
// to one that failed before. It doubles, so that the attempts are not spent
// before a lost target's successor is known.
func avoidTime(n uint32) time.Duration {
	return min(firstAvoid<<min(n-1, 16), maxAvoid)
}

// waitUntil returns how long a request waits for a target after its last error.
// A first attempt does not wait, nor does one that every target was too busy for:
// it was told when to come back.
func waitUntil(now time.Time, last error) time.Time {
	var refused *fireflysaddle.RefusedError
	if last == nil || (errors.As(last, &refused) && refused.Code == fireflysaddle.CodeOverloaded) {
		return now
	}
	return now.Add(patience)
}

// noTarget returns why there is no target: the refusal of the last attempt
// where there was one.
func noTarget(need saddleroute.Requirements, last error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(last, &refused) {
		return refused
	}
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoTarget,
		Message:    "no target of " + need.Group + " can take the request",
		RetryAfter: noTargetRetry,
	}
}

// finalDraft returns the final answer after a failed attempt, or nil where
// another attempt is due.
func (s *Server) finalDraft(ctx context.Context, err error, ran fireflysaddle.ExecutionStatus) error {
	var gone *callerGoneError
	if errors.As(err, &gone) || ctx.Err() != nil {
		return draftFailure(err, ran)
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeStaleRevision {
		s.awaitRevision(ctx)
		return nil
	}
	if s.takeRetry() {
		return nil
	}
	return draftFailure(err, ran)
}

// awaitRevision gives the newer configuration a moment to arrive.
func (s *Server) awaitRevision(ctx context.Context) {
	s.attendant.Wake()
	select {
	case <-ctx.Done():
	case <-time.After(pollTarget):
	}
}

// draftFailure turns the last error of a draft into the caller's answer. ran
// says what is known of all its attempts.
func draftFailure(err error, ran fireflysaddle.ExecutionStatus) error {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var refused *fireflysaddle.RefusedError
	switch {
	case errors.As(err, &refused):
		f := notRunBy(refused)
		f.ExecutionStatus = ran
		return f
	case errors.Is(err, context.DeadlineExceeded):
		return &failure{Code: fireflysaddle.CodeDeadline, Message: "the deadline passed", ExecutionStatus: ran, RetryAfter: noTargetRetry}
	}
	return &failure{Code: fireflysaddle.CodeTargetFailed, Message: err.Error(), ExecutionStatus: ran, RetryAfter: noTargetRetry}
}

func (s *Server) countFirst() {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.RecordFirstAttempt()
}

func (s *Server) takeRetry() bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.TakeRetry()
}

// note records an attempt on the time line.
func (s *Server) note(now time.Time, name string, who caller, number uint32, target fireflysaddle.TargetID) {
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: name, Request: who.request, Attempt: number, Target: string(target)})
}
