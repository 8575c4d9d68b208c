package saddledaemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlecert"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const refusedTime = 3 * time.Second // for a stranger to give up

// The whole path under TLS: a chain of two, a filing with a key, a template
// applied by saddlectl. A stranger without a certificate is not heard.
func TestAFleetUnderTLSServesAndHearsNoStranger(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := fixtureOn(t, saddleprocess.NewWithTLS(t, 3, saddlecert.New(t)), "0s")
	f.target(t, "stage-0", 0, 3)
	f.target(t, "stage-1", 3, layers)
	_, desk := startDesk(t, f.Fleet)
	desk.AwaitReady(t)

	const prompt = "word the form under lock and key"
	is.Equal(awaitDraft(t, f.entry.Listen, prompt, 6), saddlestandin.ExpectedTokens(prompt, layers, 6))
	awaitPost(t, f.entry.Listen, "case-tls", `{"case":1}`)

	stranger, cleanup := saddleclient.New(f.ControlAddresses(), nil)
	defer func() { _ = cleanup() }()
	ctx, cancel := context.WithTimeout(context.Background(), refusedTime)
	defer cancel()
	_, err := stranger.Read(ctx)
	is.True(err != nil)
}
