package saddleentry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// writer gives the caller its tokens, as server-sent events or as one answer.
type writer struct {
	c       echo.Context
	created time.Time
	id      string
	model   string
	stream  bool
	chat    bool
	begun   bool
	tokens  int
	text    strings.Builder
	buf     bytes.Buffer // of one event
	choices [1]choice    // of one event
}

const eventStart = "data: "

func newWriter(c echo.Context, now time.Time, id string, body completionRequest, chat bool) *writer {
	return &writer{c: c, created: now, id: id, model: body.Model, stream: body.Stream, chat: chat}
}

// token takes in the next token.
func (w *writer) token(text string) error {
	w.tokens++
	if !w.stream {
		w.text.WriteString(text)
		return nil
	}
	w.begin()
	chunk := w.chunk(w.delta(text), nil)
	return w.event(&chunk)
}

// end ends the answer.
func (w *writer) end() error {
	stop := "stop"
	if w.stream {
		w.begin()
		if err := w.event(w.chunk(w.delta(""), &stop)); err != nil {
			return err
		}
		return w.line("[DONE]")
	}
	ch := choice{Text: w.text.String(), FinishReason: &stop}
	if w.chat {
		ch = choice{Message: &message{Role: "assistant", Content: w.text.String()}, FinishReason: &stop}
	}
	out := w.whole(ch)
	out.Usage = &usage{CompletionTokens: w.tokens}
	return w.c.JSON(http.StatusOK, out)
}

// fail ends the answer with a failure. A stream that has begun gets it as its
// last event, and no end mark.
func (w *writer) fail(f *failure) error {
	if !w.begun {
		return f.write(w.c)
	}
	countRefused.Add(1)
	return w.event(f.body())
}

func (w *writer) begin() {
	if w.begun {
		return
	}
	w.begun = true
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *writer) delta(text string) choice {
	if w.chat {
		return choice{Delta: &message{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (w *writer) chunk(ch choice, finish *string) completion {
	ch.FinishReason = finish
	out := w.whole(ch)
	if w.chat {
		out.Object = "chat.completion.chunk"
	}
	return out
}

func (w *writer) whole(ch choice) completion {
	object := "text_completion"
	if w.chat {
		object = "chat.completion"
	}
	w.choices[0] = ch
	return completion{ID: w.id, Object: object, Created: w.created.Unix(), Model: w.model, Choices: w.choices[:]}
}

// event writes a server-sent event in a buffer that is used for each of them.
func (w *writer) event(body any) error {
	w.buf.Reset()
	w.buf.WriteString(eventStart)
	if err := json.NewEncoder(&w.buf).Encode(body); err != nil { // ends the line
		return err
	}
	w.buf.WriteByte('\n')
	return w.flush()
}

func (w *writer) line(data string) error {
	w.buf.Reset()
	w.buf.WriteString(eventStart)
	w.buf.WriteString(data)
	w.buf.WriteString("\n\n")
	return w.flush()
}

func (w *writer) flush() error {
	if _, err := w.c.Response().Write(w.buf.Bytes()); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}
