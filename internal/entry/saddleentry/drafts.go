package saddleentry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

func (s *Server) handleChat(c echo.Context) error { return s.handleDraft(c, true) }

func (s *Server) handleCompletion(c echo.Context) error { return s.handleDraft(c, false) }

// handleDraft answers a request for generated text, streamed or whole.
func (s *Server) handleDraft(c echo.Context, chat bool) error {
	countRequests.Add(1)
	now := time.Now()
	who, err := s.identify(now, c)
	if err != nil {
		return asFailure(err).write(c)
	}
	body, err := readCompletion(c, chat)
	if err != nil {
		return asFailure(err).write(c)
	}
	g, err := grant(who.deployment, fireflysaddle.KindEngine, body.Model)
	if err != nil {
		return asFailure(err).write(c)
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "draft_received", Request: who.request, Subject: who.deployment.GetWorkspace()})
	d := draft{
		caller:    who,
		model:     body.Model,
		version:   g.GetVersion(),
		prompt:    body.text(),
		maxTokens: body.MaxTokens,
	}
	out := newWriter(c, now, who.request, body, chat)
	ctx, cancel := context.WithDeadline(c.Request().Context(), who.deadline)
	defer cancel()
	err = s.runDraft(ctx, d, out.token)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "draft_end", Request: who.request, Detail: outcome(err)})
	if err != nil {
		return out.fail(asFailure(err))
	}
	countAnswered.Add(1)
	return out.end()
}

// outcome names an error for the time line.
func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	return string(asFailure(err).Code)
}

func readCompletion(c echo.Context, chat bool) (completionRequest, error) {
	var body completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return body, notRun(fireflysaddle.CodeBadRequest, "the body is not valid JSON: "+err.Error(), 0)
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	switch {
	case body.Model == "":
		return body, notRun(fireflysaddle.CodeBadRequest, "model is required", 0)
	case body.MaxTokens > limitMaxTokens:
		return body, notRun(fireflysaddle.CodeBadRequest, fmt.Sprintf("max_tokens = %d must be at most %d", body.MaxTokens, limitMaxTokens), 0)
	case chat && len(body.Messages) == 0:
		return body, notRun(fireflysaddle.CodeBadRequest, "messages must not be empty", 0)
	case !chat && body.Prompt == "":
		return body, notRun(fireflysaddle.CodeBadRequest, "prompt must not be empty", 0)
	}
	return body, nil
}

// text returns the prompt that the engines are given.
func (b completionRequest) text() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String()
}
