package saddlectl

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// replacePollInterval is the time between polls of a replacement in progress.
const replacePollInterval = 200 * time.Millisecond

func replaceFlags(s *session, fs *flag.FlagSet) {
	fs.BoolVar(&s.wait, "wait", false, "wait until the new replica is a voter and the old one is removed")
	fs.DurationVar(&s.waitTimeout, "wait-for", defaultWaitTimeout, "longest time to wait with -wait")
}

// runControlReplace replaces a control replica. If the old replica is "-", it only adds the
// new one. If the new replica and its address are "-", it only removes the old one.
func runControlReplace(ctx context.Context, s *session, args []string) error {
	change, err := parseReplaceArguments(args)
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
	s.printProgress("accepted")
	if change.GetAdd() != "" {
		s.printProgress("replica %s becomes a voter once its log has caught up; the replica that it replaces is removed after that", change.GetAdd())
	}
	if !s.wait {
		return nil
	}
	return s.awaitReplaced(ctx, change)
}

func parseReplaceArguments(args []string) (*saddlewire.ReplicaChange, error) {
	const none = "-"
	if len(args) != 3 {
		return nil, &usageError{reason: "name the old replica, the new one and its address"}
	}
	removed, added, address := args[0], args[1], args[2]
	if (added == none) != (address == none) || (removed == none && added == none) {
		return nil, &usageError{reason: "name a new replica and its address, or an old one and - - to remove it"}
	}
	change := &saddlewire.ReplicaChange{}
	if removed != none {
		change.Remove = removed
	}
	if added != none {
		change.Add = added
		change.Address = address
	}
	return change, nil
}

// awaitReplaced waits until the new replica is a voter and the old one is removed.
func (s *session) awaitReplaced(ctx context.Context, change *saddlewire.ReplicaChange) error {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout)
	defer cancel()
	pending := "control did not answer"
	for {
		if state, err := s.client.Read(ctx); err == nil {
			if pending = pendingReason(state, change); pending == "" {
				s.printProgress("done")
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &waitTimeoutError{pending: []string{pending}}
		case <-time.After(replacePollInterval):
		}
	}
}

// pendingReason returns why a replica change is not complete, or "" if it is.
func pendingReason(state *saddlewire.ReadResponse, change *saddlewire.ReplicaChange) string {
	addedIsVoter := change.GetAdd() == ""
	for _, r := range state.GetReplicas() {
		if r.GetId() == change.GetRemove() {
			return fmt.Sprintf("replica %s has not been removed yet", r.GetId())
		}
		addedIsVoter = addedIsVoter || (r.GetId() == change.GetAdd() && r.GetVoter())
	}
	if !addedIsVoter {
		return fmt.Sprintf("replica %s is not a voter yet", change.GetAdd())
	}
	return ""
}
