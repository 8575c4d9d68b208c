package saddleentry

import (
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

// handleDraft serves a text generation request, streamed or not.
func (s *Server) handleDraft(c echo.Context, chat bool) error {
	countRequests.Add(1)
	now := time.Now()
	meta, err := s.identify(now, c)
	if err != nil {
		return asFailure(err).write(c)
	}
	body, err := readCompletion(c, chat)
	if err != nil {
		return asFailure(err).write(c)
	}
	g, err := grant(meta.deployment, fireflysaddle.KindEngine, body.Model)
	if err != nil {
		return asFailure(err).write(c)
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "draft_received", Request: meta.request, Subject: meta.deployment.GetWorkspace()})
	d := draft{
		requestMeta: meta,
		model:       body.Model,
		version:     g.GetVersion(),
		prompt:      body.prompt(),
		maxTokens:   body.MaxTokens,
	}
	out := newCompletionWriter(c, now, meta.request, body, chat, s.stopping.Load)
	ctx, cancel := s.end.requestContext(c.Request().Context(), meta.deadline)
	defer cancel()
	err = s.runDraft(ctx, d, out.writeToken)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "draft_end", Request: meta.request, Detail: outcomeName(err)})
	if err != nil {
		return out.fail(asFailure(err))
	}
	countAnswers.Add(1)
	return out.finish()
}

// outcomeName returns the name under which the timeline records the outcome of a
// request that ended with err.
func outcomeName(err error) string {
	if err == nil {
		return "answered"
	}
	return string(asFailure(err).Code)
}

func readCompletion(c echo.Context, chat bool) (completionRequest, error) {
	var body completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return body, notRunFailure(fireflysaddle.CodeBadRequest, "the body is not valid JSON: "+err.Error(), 0)
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	switch {
	case body.Model == "":
		return body, notRunFailure(fireflysaddle.CodeBadRequest, "model is required", 0)
	case body.MaxTokens > maxTokensLimit:
		return body, notRunFailure(fireflysaddle.CodeBadRequest, fmt.Sprintf("max_tokens = %d must be at most %d", body.MaxTokens, maxTokensLimit), 0)
	case chat && len(body.Messages) == 0:
		return body, notRunFailure(fireflysaddle.CodeBadRequest, "messages must not be empty", 0)
	case !chat && body.Prompt == "":
		return body, notRunFailure(fireflysaddle.CodeBadRequest, "prompt must not be empty", 0)
	}
	return body, nil
}

// prompt returns the prompt for the engines; chat messages are joined into one text.
func (b completionRequest) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var prompt strings.Builder
	for _, m := range b.Messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(m.Content)
		prompt.WriteString("\n")
	}
	return prompt.String()
}
