package saddleentry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
)

// bodyTimeout is the time for a caller to send its body.
const bodyTimeout = 30 * time.Second

// readBody reads the whole body, bounded in bytes and time, before the request
// goes on. The read deadline is lifted then: the server's own would end the
// request while its answer is still being made.
func readBody(limit int) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			control := http.NewResponseController(c.Response())
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, int64(limit)))
			if err != nil {
				return bodyFailure(err).write(c)
			}
			_ = control.SetReadDeadline(time.Time{})
			r.Body = io.NopCloser(bytes.NewReader(body))
			return next(c)
		}
	}
}

func bodyFailure(err error) *failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(fireflysaddle.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit), 0)
	}
	return notRun(fireflysaddle.CodeBadRequest, "the body could not be read: "+err.Error(), 0)
}
