package saddleentry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	controlAddress       = "control:1"
	updateInterval       = 500 * time.Millisecond
	memberSilenceTimeout = 2 * time.Second
	workspace            = "head-office"
	callerKey            = "head-office-key"
)

// control is a single control replica with a switchable majority.
type control struct {
	saddlewire.DRPCControlUnimplementedServer
	cluster *testCluster

	mu            sync.Mutex
	state         *saddlestate.State
	index         uint64
	hasMajority   bool
	skew          time.Duration // added to the time that commands carry
	members       map[string]*saddlewire.Member
	lastHeartbeat map[string]time.Time
}

func newControl(w *testCluster) *control {
	return &control{cluster: w, state: saddlestate.New(), hasMajority: true, members: map[string]*saddlewire.Member{}, lastHeartbeat: map[string]time.Time{}}
}

func (c *control) start() {
	lis, _ := c.cluster.net.forProcess("control").Listen(controlAddress)
	c.cluster.spawn(func(ctx context.Context) {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, c) })
	})
}

// Submit applies a command if there is a majority, and refuses it otherwise.
func (c *control) Submit(_ context.Context, in *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	command, _ := proto.Clone(in.GetCommand()).(*saddlewire.Command)
	claim := command.GetOpenClaim().GetClaim()
	settle := command.GetSettleClaim()
	switch {
	case claim != nil:
		c.cluster.reachStep(stepReceived, claim.GetKey())
	case settle != nil && !settle.GetNotRun():
		c.cluster.reachStep(stepAnswerEnded, settle.GetKey())
	}
	out := c.apply(command)
	switch {
	case out.GetRefused():
	case claim != nil:
		c.cluster.reachStep(stepClaimed, claim.GetKey())
	case settle != nil && !settle.GetNotRun():
		c.cluster.reachStep(stepRecorded, settle.GetKey())
	}
	return out, nil
}

func (c *control) apply(command *saddlewire.Command) *saddlewire.SubmitResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasMajority {
		return &saddlewire.SubmitResponse{Refused: true}
	}
	c.index++
	command.NowNs = time.Now().Add(c.skew).UnixNano()
	return &saddlewire.SubmitResponse{Result: c.state.Apply(c.index, command)}
}

func (c *control) setMajority(majority bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasMajority = majority
}

// member returns the member reported by a node's last heartbeat, or nil if the node is
// lost.
func (c *control) member(node string) *saddlewire.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastHeartbeat[node]) > memberSilenceTimeout {
		return nil
	}
	return c.members[node]
}

// Attend receives heartbeats and sends the configuration and the members.
func (c *control) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		var receiver saddleheartbeat.Receiver
		for {
			b, err := stream.Recv()
			if err != nil {
				return
			}
			c.recordHeartbeat(receiver.Member(b))
		}
	}()
	for {
		if err := stream.Send(c.update()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(updateInterval):
		}
	}
}

func (c *control) recordHeartbeat(m *saddlewire.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.GetIncarnation() < c.members[m.GetNode()].GetIncarnation() {
		return
	}
	c.members[m.GetNode()] = m
	c.lastHeartbeat[m.GetNode()] = time.Now()
}

func (c *control) update() *saddlewire.Update {
	sum := sha256.Sum256([]byte(callerKey))
	u := &saddlewire.Update{
		Snapshot:  true,
		Revision:  1,
		Confirmed: true,
		Deployments: []*saddlewire.Deployment{{
			Workspace: workspace,
			Revision:  1,
			KeyHashes: []string{hex.EncodeToString(sum[:])},
			Weight:    1,
			Grants:    []*saddlewire.Grant{{Group: serviceGroup, Kind: "service"}, {Group: modelGroup, Kind: "engine"}},
			TimeoutMs: 20_000,
		}},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, m := range c.members {
		if time.Since(c.lastHeartbeat[node]) > memberSilenceTimeout {
			continue
		}
		m, _ = proto.Clone(m).(*saddlewire.Member)
		if address := c.cluster.relayAddressOf(node); address != "" {
			m.Address = address
		}
		u.Members = append(u.Members, m)
	}
	return u
}

// stateSize returns the size of the replicated state in bytes.
func (c *control) stateSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := c.state.Encode()
	if err != nil {
		c.cluster.t.Error(err)
	}
	return len(data)
}
