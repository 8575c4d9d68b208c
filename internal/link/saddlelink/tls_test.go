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

const pingTimeout = 20 * time.Second

// pingServer is an agent that implements only Ping.
type pingServer struct {
	saddlewire.DRPCAgentUnimplementedServer
}

func (*pingServer) Ping(context.Context, *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return &saddlewire.PingResponse{Incarnation: 7}, nil
}

func newNetwork(t *testing.T, a *saddlecert.Authority, name string) *saddlelink.TLS {
	t.Helper()
	cert, key := a.Issue(t, name)
	n, err := saddlelink.NewTLS(cert, key, a.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// servePings serves pings on the network and returns the address.
func servePings(t *testing.T, n fireflysaddle.Network) string {
	t.Helper()
	lis, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, &pingServer{}) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return lis.Addr().String()
}

func ping(t *testing.T, n fireflysaddle.Network, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	conn, err := saddlelink.DialWithNetwork(ctx, n, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{})
	return err
}

func TestServerRejectsClientsOfOtherAuthorities(t *testing.T) {
	is := is.New(t)
	fleet, other := saddlecert.New(t), saddlecert.New(t)
	address := servePings(t, newNetwork(t, fleet, "agent-1"))
	is.NoErr(ping(t, newNetwork(t, fleet, "entry-1"), address))
	is.True(ping(t, newNetwork(t, other, "entry-1"), address) != nil) // certificate of another authority
	is.True(ping(t, saddlelink.TCP{}, address) != nil)                // no TLS and no certificate

	cert, key := other.Issue(t, "thief")
	untrusted, err := saddlelink.NewTLS(cert, key, fleet.CertFile) // trusts the fleet's authority but has a certificate of another one
	is.NoErr(err)
	is.True(ping(t, untrusted, address) != nil)
}

func TestClientRejectsServerOfAnotherAuthority(t *testing.T) {
	is := is.New(t)
	fleet, other := saddlecert.New(t), saddlecert.New(t)
	cert, key := other.Issue(t, "trap")
	untrusted, err := saddlelink.NewTLS(cert, key, fleet.CertFile) // trusts the fleet's authority but presents a certificate of another one
	is.NoErr(err)
	is.True(ping(t, newNetwork(t, fleet, "entry-1"), servePings(t, untrusted)) != nil)
}

func TestInvalidCertificateFilesAreRejected(t *testing.T) {
	is := is.New(t)
	a := saddlecert.New(t)
	cert, key := a.Issue(t, "entry-1")
	_, err := saddlelink.NewTLS(cert, key, key)
	is.True(err != nil)
	_, err = saddlelink.NewTLS(key, cert, a.CertFile)
	is.True(err != nil)
}
