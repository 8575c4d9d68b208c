package saddleroute_test

import (
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	model   = "mastori"
	service = "grammateia"
)

var startTime = time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)

// engineMember returns a member with an engine that holds layers [from, to) of 2.
func engineMember(id string, from, to uint32) *saddlewire.Member {
	return &saddlewire.Member{
		Node: "agent-" + id, Incarnation: 1, Address: "10.0.0.1:7300",
		Target: &saddlewire.Target{
			Id: id, Kind: "engine", Group: model, Version: "1",
			Layers: &saddlewire.Layers{From: from, To: to, Of: 2},
			Slots:  4, Rate: 20,
		},
	}
}

func serviceMember(id, version string) *saddlewire.Member {
	return &saddlewire.Member{
		Node: "agent-" + id, Incarnation: 1, Address: "10.0.0.2:7300",
		Target: &saddlewire.Target{Id: id, Kind: "service", Group: service, Version: version, Slots: 4},
	}
}

// view returns a view of members.
func view(members ...*saddlewire.Member) *saddleview.View {
	v := &saddleview.View{
		Ready:   true,
		Drains:  map[string]*saddlewire.Drain{},
		Members: map[string]*saddlewire.Member{},
		Groups:  map[string][]*saddlewire.Member{},
	}
	for _, m := range members {
		v.Members[m.GetNode()] = m
		v.Groups[m.GetTarget().GetGroup()] = append(v.Groups[m.GetTarget().GetGroup()], m)
	}
	return v
}

// viewWithEngines returns a view of n engines that hold the whole model.
func viewWithEngines(n int) *saddleview.View {
	var members []*saddlewire.Member
	for i := range n {
		members = append(members, engineMember(fmt.Sprintf("mastori-%04d", i), 0, 2))
	}
	return view(members...)
}
