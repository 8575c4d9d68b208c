package saddleentry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// completionWriter sends the tokens to the caller, as server-sent events or as a
// single response.
type completionWriter struct {
	c             echo.Context
	created       time.Time
	id            string
	model         string
	stream        bool // whether the caller requested server-sent events
	chat          bool
	streamStarted bool
	tokens        int
	text          strings.Builder
	eventBuf      bytes.Buffer // events that are not sent yet; reused
	choices       [1]choice    // reused for each event
	stopping      func() bool  // reports whether the process has been told to stop
}

const (
	eventPrefix = "data: "
	endOfStream = eventPrefix + "[DONE]\n\n"
)

func newCompletionWriter(c echo.Context, now time.Time, id string, body completionRequest, chat bool, stopping func() bool) *completionWriter {
	return &completionWriter{c: c, created: now, id: id, model: body.Model, stream: body.Stream, chat: chat, stopping: stopping}
}

// writeToken sends the next token, or buffers it if the answer is not streamed. A stopping
// process begins no stream before the answer is whole.
func (w *completionWriter) writeToken(text string) error {
	w.tokens++
	if !w.stream {
		w.text.WriteString(text)
		return nil
	}
	chunk := w.newChunk(w.newChoice(text), nil)
	if err := w.addEvent(&chunk); err != nil {
		return err
	}
	if !w.streamStarted && w.stopping() {
		return nil // the process may end before the answer is whole
	}
	return w.send()
}

// finish completes the answer.
func (w *completionWriter) finish() error {
	stop := "stop"
	if w.stream {
		if err := w.addEvent(w.newChunk(w.newChoice(""), &stop)); err != nil {
			return err
		}
		w.eventBuf.WriteString(endOfStream)
		return w.send()
	}
	ch := choice{Text: w.text.String(), FinishReason: &stop}
	if w.chat {
		ch = choice{Message: &message{Role: "assistant", Content: w.text.String()}, FinishReason: &stop}
	}
	out := w.newCompletion(ch)
	out.Usage = &usage{CompletionTokens: w.tokens}
	return w.c.JSON(http.StatusOK, out)
}

// fail sends a failure. If the stream has started, the failure is its last event and
// no [DONE] event follows.
func (w *completionWriter) fail(f *failure) error {
	if !w.streamStarted {
		return f.write(w.c)
	}
	countRefusals.Add(1)
	if err := w.addEvent(f.body()); err != nil {
		return err
	}
	return w.send()
}

func (w *completionWriter) startStream() {
	if w.streamStarted {
		return
	}
	w.streamStarted = true
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *completionWriter) newChoice(text string) choice {
	if w.chat {
		return choice{Delta: &message{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (w *completionWriter) newChunk(ch choice, finishReason *string) completion {
	ch.FinishReason = finishReason
	out := w.newCompletion(ch)
	if w.chat {
		out.Object = "chat.completion.chunk"
	}
	return out
}

func (w *completionWriter) newCompletion(ch choice) completion {
	object := "text_completion"
	if w.chat {
		object = "chat.completion"
	}
	w.choices[0] = ch
	return completion{ID: w.id, Object: object, Created: w.created.Unix(), Model: w.model, Choices: w.choices[:]}
}

// addEvent adds body to the events to be sent.
func (w *completionWriter) addEvent(body any) error {
	w.eventBuf.WriteString(eventPrefix)
	if err := json.NewEncoder(&w.eventBuf).Encode(body); err != nil { // Encode appends a newline
		return err
	}
	return w.eventBuf.WriteByte('\n')
}

// send sends the events, after the head of the answer if it has not been sent.
func (w *completionWriter) send() error {
	w.startStream()
	if _, err := w.c.Response().Write(w.eventBuf.Bytes()); err != nil {
		return err
	}
	w.eventBuf.Reset()
	w.c.Response().Flush()
	return nil
}
