package saddleheartbeat_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func agentWith(load uint32, revision uint64) *saddlewire.Member {
	return &saddlewire.Member{
		Node: "agent-mastori-1", Role: "agent", Incarnation: 7, Revision: revision,
		Target: &saddlewire.Target{Id: "mastori-1", Group: "mastori", Slots: 8},
		Load:   &saddlewire.Load{Running: load},
	}
}

func TestAHeartbeatDescribesTheMemberOnlyWhenItChanged(t *testing.T) {
	is := is.New(t)
	var b saddleheartbeat.Sender
	is.True(b.Next(agentWith(1, 5)).GetMember() != nil) // the first one
	brief := b.Next(agentWith(2, 5))
	is.Equal(brief.GetMember(), nil)
	is.Equal(brief.GetLoad().GetRunning(), uint32(2))
	is.True(b.Next(agentWith(2, 6)).GetMember() != nil) // another configuration is in force
	is.Equal(b.Next(agentWith(0, 6)).GetMember(), nil)
	is.True(proto.Size(brief)*5 < proto.Size(&saddlewire.Beat{Member: agentWith(2, 5)}))
}

func TestAMemberIsLeftAsItWas(t *testing.T) {
	is := is.New(t)
	var b saddleheartbeat.Sender
	m := agentWith(1, 5)
	b.Next(m)
	b.Next(agentWith(3, 5))
	is.True(proto.Equal(m, agentWith(1, 5)))
}
