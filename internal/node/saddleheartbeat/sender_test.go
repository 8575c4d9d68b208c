package saddleheartbeat_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func agentMember(load uint32, revision uint64) *saddlewire.Member {
	return &saddlewire.Member{
		Node: "agent-mastori-1", Role: "agent", Incarnation: 7, Revision: revision,
		Target: &saddlewire.Target{Id: "mastori-1", Group: "mastori", Slots: 8},
		Load:   &saddlewire.Load{Running: load},
	}
}

func TestHeartbeatCarriesMemberOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	var sender saddleheartbeat.Sender
	is.True(sender.Next(agentMember(1, 5)).GetMember() != nil) // first heartbeat of the stream
	loadOnly := sender.Next(agentMember(2, 5))
	is.Equal(loadOnly.GetMember(), nil)
	is.Equal(loadOnly.GetLoad().GetRunning(), uint32(2))
	is.True(sender.Next(agentMember(2, 6)).GetMember() != nil) // the revision has changed
	is.Equal(sender.Next(agentMember(0, 6)).GetMember(), nil)
	is.True(proto.Size(loadOnly)*5 < proto.Size(&saddlewire.Beat{Member: agentMember(2, 5)}))
}

func TestMemberIsNotModified(t *testing.T) {
	is := is.New(t)
	var sender saddleheartbeat.Sender
	m := agentMember(1, 5)
	sender.Next(m)
	sender.Next(agentMember(3, 5))
	is.True(proto.Equal(m, agentMember(1, 5)))
}
