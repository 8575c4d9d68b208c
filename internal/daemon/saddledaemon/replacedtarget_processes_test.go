package saddledaemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// Another target announces itself to an agent while control is down. The entry does not
// learn of the new target and still sends requests for the previous target to the agent.
// Such a request must not reach the new target.
func TestRequestNeverReachesReplacementTargetOfAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	service := startService(t, "desk-1", "filing-desk")
	agent := f.StartAgent(t, "agent-desk-1", "")
	announce(t, agent, service)
	awaitServiceAnswer(t, f.entry.Listen, "", `{"case":1}`)

	for _, c := range f.Controls {
		c.Kill()
	}
	service.Kill()
	other := startService(t, "registry-1", "registry")
	announce(t, agent, other)

	resp, err := post(f.entry.Listen, "/services/filing-desk/cases", "", `{"case":2}`)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(other.Calls()), 0)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(string(body), `"ran":"no"`))
}

func startService(t *testing.T, id, group string) *saddlestandin.Service {
	t.Helper()
	s, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
		Address: "127.0.0.1:0", ID: id, Group: group, Version: "1", Slots: 2, Incarnation: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return s
}

// announce retries the announcement of a service until the agent accepts it.
func announce(t *testing.T, agent *saddleprocess.Agent, s *saddlestandin.Service) {
	t.Helper()
	saddleprocess.Await(t, "the announcement to be accepted", awaitTimeout, func() error {
		reply, err := saddleannounce.Send(context.Background(), http.DefaultClient, agent.Announce, s.Announcement())
		if err == nil && !reply.Accepted {
			err = fmt.Errorf("not accepted: %s", reply.Reason)
		}
		return err
	})
}
