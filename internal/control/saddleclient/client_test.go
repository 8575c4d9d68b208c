package saddleclient_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	answerTime = 60 * time.Millisecond  // time that the replica takes to refuse a command
	timeout    = 200 * time.Millisecond // shorter than two calls with the pause between them
)

// slowLeaderless is a control replica that knows no leader and refuses each command after
// answerTime.
type slowLeaderless struct {
	saddlewire.DRPCControlUnimplementedServer
}

func (*slowLeaderless) Submit(context.Context, *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	time.Sleep(answerTime)
	return &saddlewire.SubmitResponse{Refused: true}, nil
}

// Every replica refuses the command, and the deadline passes during the next round. No
// replica has proposed the command, so the client must not report an unknown outcome.
func TestDeadlineDoesNotCutOffFurtherCall(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, &slowLeaderless{}) })
	}()
	defer func() {
		cancel()
		<-done
	}()
	client, closeClient := saddleclient.New([]string{lis.Addr().String()}, nil)
	defer func() { _ = closeClient() }()
	callCtx, cancelCall := context.WithTimeout(ctx, timeout)
	defer cancelCall()
	_, err = client.Submit(callCtx, &saddlewire.Command{Request: "r-1"})
	var refused *fireflysaddle.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, fireflysaddle.CodeNoMajority)
}
