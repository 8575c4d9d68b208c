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

const refusalTimeout = 3 * time.Second // time in which an unauthenticated read must not succeed

// A fleet under TLS serves a draft through a chain of two stages, a service request with an
// idempotency key, and a template applied by saddlectl. Control refuses a client without a
// certificate.
func TestFleetUnderTLSServesAndRefusesUnauthenticatedClients(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixtureOnFleet(t, saddleprocess.NewWithTLS(t, 3, saddlecert.New(t)), "0s")
	f.startTarget(t, "stage-0", 0, 3)
	f.startTarget(t, "stage-1", 3, layers)
	_, serviceAgent := startFilingService(t, f.Fleet)
	serviceAgent.AwaitReady(t)

	const prompt = "word the form over TLS connections"
	is.Equal(awaitDraft(t, f.entry.Listen, prompt, 6), saddlestandin.ExpectedTokens(prompt, layers, 6))
	awaitServiceAnswer(t, f.entry.Listen, "case-tls", `{"case":1}`)

	unauthenticated, cleanup := saddleclient.New(f.ControlAddresses(), nil)
	defer func() { _ = cleanup() }()
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	_, err := unauthenticated.Read(ctx)
	is.True(err != nil)
}
