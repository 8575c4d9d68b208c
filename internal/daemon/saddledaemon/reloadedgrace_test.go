package saddledaemon_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
)

// Guards against requests in progress being cut when the grace time at the start of the process
// is over, although a reload has made it longer.
func TestReloadedGraceHoldsForRequestsInProgress(t *testing.T) {
	is := is.New(t)
	settings := newGatewaySettings(t)
	settings.Grace = saddlesettings.Duration(time.Second)
	longer := settings
	longer.Grace = saddlesettings.Duration(time.Minute)
	reloads := make(chan saddlesettings.Gateway)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	var logs bytes.Buffer
	go func() { ended <- saddledaemon.RunGateway(ctx, settings, zerolog.SyncWriter(&logs), reloads) }()
	var conn net.Conn
	saddleprocess.Await(t, "the gateway to listen", awaitTimeout, func() error {
		var err error
		conn, err = net.Dial("tcp", settings.Listen)
		return err
	})
	defer func() { _ = conn.Close() }()
	reloads <- longer
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // until the reload is applied and the part of the request is read
	stop()
	time.Sleep(settings.Grace.Std() * 3 / 2)
	_, err = io.WriteString(conn, "\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err) // an answer, though a refusal: the request has no identifier
	is.NoErr(resp.Body.Close())
	is.NoErr(<-ended)
	is.True(strings.Contains(logs.String(), "settings reloaded"))
}
