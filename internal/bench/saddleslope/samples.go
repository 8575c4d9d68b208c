package saddleslope

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const baseIncarnation = uint64(1_700_000_000_000_000_000)

// agentMember returns the member that the agent of an engine reports.
func agentMember(i int) *saddlewire.Member {
	return &saddlewire.Member{
		Node:        fmt.Sprintf("agent-drafting-models-%04d", i),
		Role:        "agent",
		Incarnation: baseIncarnation + uint64(i),
		Centre:      "region-1-centre-07",
		Address:     fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250),
		Admin:       fmt.Sprintf("10.1.%d.%d:7201", i/250, i%250),
		Target: &saddlewire.Target{
			Id:          fmt.Sprintf("drafting-models-%04d", i),
			Kind:        "engine",
			Group:       fmt.Sprintf("model-%02d", i%11),
			Version:     "2026-05",
			Layers:      &saddlewire.Layers{From: 0, To: 24, Of: 48},
			Slots:       8,
			Fenced:      true,
			Address:     fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			Incarnation: 7,
			Accelerator: "kind-3",
			Rate:        40,
			LinkMs:      0.4,
		},
		Load:      &saddlewire.Load{Running: 5, Queued: 2, Finished: 123456, WaitMs: 12.5},
		Revision:  987654,
		Confirmed: true,
		SinceNs:   int64(baseIncarnation),
	}
}

// entryMember returns the member that an entry reports.
func entryMember(i int) *saddlewire.Member {
	m := agentMember(i)
	m.Node = fmt.Sprintf("entry-%04d", i)
	m.Role = "entry"
	m.Target = nil
	m.Load = nil
	return m
}

const templateBody = `name = "meet"
[parameters.keys]
type = "list"
[parameters.weight]
type = "int"
[deployment]
keys = "${keys}"
weight = "${weight}"
timeout = "45s"
models = [{ name = "model-01" }, { name = "model-02" }, { name = "model-03" }]
services = [{ name = "grammateia" }]
`

func putTemplate() *saddlewire.Command {
	return &saddlewire.Command{Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: "meet", Body: templateBody},
	}}
}

// putDeployment returns a command that deploys a workspace with two keys. base
// is the revision of the deployment that the command replaces.
func putDeployment(i int, base uint64) *saddlewire.Command {
	return &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{
		Workspace: fmt.Sprintf("workspace-%04d", i),
		Base:      base,
		Template:  "meet",
		Parameters: map[string]string{
			"keys":   sampleHash(i, "old") + "," + sampleHash(i, "new"),
			"weight": fmt.Sprint(base%9 + 1),
		},
	}}}
}

func sampleHash(i int, label string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s-%d", label, i))
	return hex.EncodeToString(sum[:])
}

func agentHeartbeat(i int) *saddlewire.Beat { return &saddlewire.Beat{Member: agentMember(i)} }

// sampleDeployment returns a rendered deployment with two keys and four grants.
func sampleDeployment(i int) *saddlewire.Deployment {
	put := putDeployment(i, 0).GetPutDeployment()
	d := &saddlewire.Deployment{
		Workspace:  put.GetWorkspace(),
		Revision:   3,
		Template:   put.GetTemplate(),
		Parameters: put.GetParameters(),
		KeyHashes:  []string{sampleHash(i, "old"), sampleHash(i, "new")},
		Weight:     2,
		TimeoutMs:  45000,
		Index:      1,
	}
	for g := range 4 {
		d.Grants = append(d.Grants, &saddlewire.Grant{Group: fmt.Sprintf("model-%02d", g), Kind: "engine"})
	}
	return d
}

// cloneUpdate returns a deep copy. It shares no memory with the original, as if the
// update had been decoded from a stream.
func cloneUpdate(u *saddlewire.Update) *saddlewire.Update {
	out, _ := proto.Clone(u).(*saddlewire.Update)
	return out
}

func eventTime(i int) time.Time { return time.Unix(0, int64(baseIncarnation)+int64(i)) }
