package saddleentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The headers of the callers' interface.
const (
	HeaderTimeout  = "X-Timeout-Ms"      // deadline, milliseconds from now
	HeaderPriority = "X-Priority"        // whole number; higher goes first
	HeaderKey      = "Idempotency-Key"   // of a request that may not be repeated
	HeaderRequest  = "X-Request-Id"      // answer: the request's id
	HeaderReplayed = "Idempotent-Replay" // answer: "true" where it was recorded earlier
)

const (
	bearerPrefix   = "Bearer "
	maxKeyBytes    = 255
	maxBearerBytes = 512
)

// caller is what a request says of who asks and how.
type caller struct {
	request    string
	deployment *saddlewire.Deployment
	deadline   time.Time
	priority   int32
	key        string
}

// identify reads the headers of a request. Errors are of type *failure.
func (s *Server) identify(now time.Time, c echo.Context) (caller, error) {
	out := caller{request: uuid.NewString()}
	c.Response().Header().Set(HeaderRequest, out.request)
	view := s.attendant.View()
	if !view.Ready {
		return out, notRun(fireflysaddle.CodeNotReady, "this entry has no configuration yet", notReadyRetry)
	}
	d, err := authenticate(view.Keys, c.Request().Header.Get(echo.HeaderAuthorization))
	if err != nil {
		return out, err
	}
	out.deployment = d
	if out.deadline, err = s.deadline(now, d, c.Request().Header.Get(HeaderTimeout)); err != nil {
		return out, err
	}
	if out.priority, err = priority(d, c.Request().Header.Get(HeaderPriority)); err != nil {
		return out, err
	}
	out.key = c.Request().Header.Get(HeaderKey)
	if len(out.key) > maxKeyBytes {
		return out, notRun(fireflysaddle.CodeBadRequest, fmt.Sprintf("%s exceeds %d bytes", HeaderKey, maxKeyBytes), 0)
	}
	return out, nil
}

// notReadyRetry is when to come back to an entry that has just started.
const notReadyRetry = time.Second

// authenticate finds the deployment of a bearer key. Only hashes of keys are
// kept and looked up, so the time taken tells nothing of a key.
func authenticate(keys map[string]*saddlewire.Deployment, header string) (*saddlewire.Deployment, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" || len(token) > maxBearerBytes {
		return nil, notRun(fireflysaddle.CodeUnauthorized, "a bearer key is required", 0)
	}
	sum := sha256.Sum256([]byte(token))
	d, ok := keys[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, notRun(fireflysaddle.CodeUnauthorized, "the bearer key is not known", 0)
	}
	return d, nil
}

func (s *Server) deadline(now time.Time, d *saddlewire.Deployment, header string) (time.Time, error) {
	timeout := time.Duration(d.GetTimeoutMs()) * time.Millisecond
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			return now, notRun(fireflysaddle.CodeBadRequest, HeaderTimeout+" must be a whole number of milliseconds above 0", 0)
		}
		timeout = time.Duration(min(ms, s.cfg.MaxTimeout.Milliseconds())) * time.Millisecond
	}
	return now.Add(min(timeout, s.cfg.MaxTimeout)), nil
}

// priority returns the asked priority, bounded by the deployment's.
func priority(d *saddlewire.Deployment, header string) (int32, error) {
	if header == "" {
		return 0, nil
	}
	p, err := strconv.ParseInt(header, 10, 32)
	if err != nil {
		return 0, notRun(fireflysaddle.CodeBadRequest, HeaderPriority+" must be a whole number", 0)
	}
	return min(int32(p), d.GetPriority()), nil
}

// grant finds what a deployment may use.
func grant(d *saddlewire.Deployment, kind fireflysaddle.TargetKind, group string) (*saddlewire.Grant, error) {
	for _, g := range d.GetGrants() {
		if g.GetGroup() == group && g.GetKind() == string(kind) {
			return g, nil
		}
	}
	return nil, notRun(fireflysaddle.CodeNotGranted, fmt.Sprintf("workspace %q may not use %s %q", d.GetWorkspace(), kind, group), 0)
}

// ticket returns the ticket of one attempt. The deployment is the latest one
// known, so that a revision that arrived since is respected.
func (s *Server) ticket(now time.Time, who caller, attempt uint32, incarnation fireflysaddle.Incarnation) *saddlewire.Ticket {
	d := who.deployment
	if latest, ok := s.attendant.View().Deployments[d.GetWorkspace()]; ok {
		d = latest
	}
	return &saddlewire.Ticket{
		Request:     who.request,
		Attempt:     attempt,
		Workspace:   d.GetWorkspace(),
		Revision:    d.GetRevision(),
		Incarnation: uint64(incarnation),
		BudgetMs:    who.deadline.Sub(now).Milliseconds(),
		Priority:    who.priority,
		Weight:      d.GetWeight(),
		Stamp:       s.cfg.Timeline.Stamp(now),
	}
}
