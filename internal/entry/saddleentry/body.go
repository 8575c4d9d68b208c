package saddleentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
)

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// readBody is a middleware that reads the whole body, bounded in size and time,
// before it calls the handler. It clears the read deadline afterwards, because an
// expired one would cancel the request while its answer is produced.
func (s *Server) readBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		control := http.NewResponseController(c.Response())
		_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		stop := context.AfterFunc(s.end.requests, func() { _ = control.SetReadDeadline(time.Now()) })
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, int64(s.cfg.BodyLimit)))
		if stopped := stop(); err != nil && !stopped {
			return endingFailure(fireflysaddle.NotExecuted).write(c)
		}
		if err != nil {
			return bodyFailure(err).write(c)
		}
		_ = control.SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(body))
		return next(c)
	}
}

func bodyFailure(err error) *failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunFailure(fireflysaddle.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit), 0)
	}
	return notRunFailure(fireflysaddle.CodeBadRequest, "the body could not be read: "+err.Error(), 0)
}
