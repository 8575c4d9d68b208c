package saddlelink_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlecert"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const patience = 20 * time.Second

// pinged is an agent that answers pings only.
type pinged struct {
	saddlewire.DRPCAgentUnimplementedServer
}

func (*pinged) Ping(context.Context, *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return &saddlewire.PingResponse{Incarnation: 7}, nil
}

func network(t *testing.T, a *saddlecert.Authority, name string) *saddlelink.TLS {
	t.Helper()
	cert, key := a.Issue(t, name)
	n, err := saddlelink.NewTLS(cert, key, a.File)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// serve answers pings under TLS and returns the address.
func serve(t *testing.T, n fireflysaddle.Network) string {
	t.Helper()
	lis, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, &pinged{}) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return lis.Addr().String()
}

func ping(t *testing.T, n fireflysaddle.Network, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	conn, err := saddlelink.DialWithNetwork(ctx, n, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{})
	return err
}

func TestOnlyTheFleetsOwnProcessesAreHeard(t *testing.T) {
	is := is.New(t)
	fleet, other := saddlecert.New(t), saddlecert.New(t)
	address := serve(t, network(t, fleet, "agent-1"))
	is.NoErr(ping(t, network(t, fleet, "entry-1"), address))
	is.True(ping(t, network(t, other, "entry-1"), address) != nil) // another authority's
	is.True(ping(t, saddlelink.TCP{}, address) != nil)             // no certificate at all

	cert, key := other.Issue(t, "thief")
	thief, err := saddlelink.NewTLS(cert, key, fleet.File) // trusts the fleet, is not of it
	is.NoErr(err)
	is.True(ping(t, thief, address) != nil)
}

func TestAProcessDoesNotTalkToAServerOfAnotherFleet(t *testing.T) {
	is := is.New(t)
	fleet, other := saddlecert.New(t), saddlecert.New(t)
	cert, key := other.Issue(t, "trap")
	trap, err := saddlelink.NewTLS(cert, key, fleet.File) // takes the fleet's certificates, shows another's
	is.NoErr(err)
	is.True(ping(t, network(t, fleet, "entry-1"), serve(t, trap)) != nil)
}

func TestBadFilesAreNamed(t *testing.T) {
	is := is.New(t)
	a := saddlecert.New(t)
	cert, key := a.Issue(t, "entry-1")
	_, err := saddlelink.NewTLS(cert, key, key)
	is.True(err != nil)
	_, err = saddlelink.NewTLS(key, cert, a.File)
	is.True(err != nil)
}
