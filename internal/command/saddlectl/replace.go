package saddlectl

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// replacePoll is the time between looks at a replacement under way.
const replacePoll = 200 * time.Millisecond

func replaceFlags(s *session, fs *flag.FlagSet) {
	fs.BoolVar(&s.wait, "wait", false, "wait until the new replica votes and the old one is gone")
	fs.DurationVar(&s.waitFor, "wait-for", defaultWait, "longest time to wait with -wait")
}

// runControlReplace replaces a control replica, or adds or removes one when the
// other is "-".
func runControlReplace(ctx context.Context, s *session, args []string) error {
	change, err := replaceArguments(args)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	result, err := s.client.Change(callCtx, change)
	if err != nil {
		return err
	}
	if !result.GetAccepted() {
		return &rejectedError{code: fireflysaddle.Code(result.GetCode()), message: result.GetMessage()}
	}
	s.progress("accepted")
	if change.GetAdd() != "" {
		s.progress("replica %s votes once it is caught up; the one it replaces goes after that", change.GetAdd())
	}
	if !s.wait {
		return nil
	}
	return s.awaitReplaced(ctx, change)
}

func replaceArguments(args []string) (*saddlewire.ReplicaChange, error) {
	const none = "-"
	if len(args) != 3 {
		return nil, &usageError{reason: "name the old replica, the new one and its address"}
	}
	old, fresh, address := args[0], args[1], args[2]
	if (fresh == none) != (address == none) || (old == none && fresh == none) {
		return nil, &usageError{reason: "name a new replica and its address, or an old one and - - to remove it"}
	}
	change := &saddlewire.ReplicaChange{}
	if old != none {
		change.Remove = old
	}
	if fresh != none {
		change.Add = fresh
		change.Address = address
	}
	return change, nil
}

// awaitReplaced waits until the new replica votes and the old one is gone.
func (s *session) awaitReplaced(ctx context.Context, change *saddlewire.ReplicaChange) error {
	ctx, cancel := context.WithTimeout(ctx, s.waitFor)
	defer cancel()
	missing := "control did not answer"
	for {
		if state, err := s.client.Read(ctx); err == nil {
			if missing = notReplaced(state, change); missing == "" {
				s.progress("done")
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &slowError{missing: []string{missing}}
		case <-time.After(replacePoll):
		}
	}
}

// notReplaced says what is missing of a change; empty: nothing.
func notReplaced(state *saddlewire.ReadResponse, change *saddlewire.ReplicaChange) string {
	votes := change.GetAdd() == ""
	for _, r := range state.GetReplicas() {
		if r.GetId() == change.GetRemove() {
			return fmt.Sprintf("replica %s is still there", r.GetId())
		}
		votes = votes || (r.GetId() == change.GetAdd() && r.GetVoter())
	}
	if !votes {
		return fmt.Sprintf("replica %s has no vote yet", change.GetAdd())
	}
	return ""
}
