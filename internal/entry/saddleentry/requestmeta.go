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

// Headers of the callers' HTTP interface.
const (
	HeaderTimeout  = "X-Timeout-Ms"      // request: timeout in milliseconds
	HeaderPriority = "X-Priority"        // request: integer; higher values are served first
	HeaderKey      = "Idempotency-Key"   // request: key of a non-idempotent request
	HeaderRequest  = "X-Request-Id"      // response: id of the request
	HeaderReplayed = "Idempotent-Replay" // response: "true" for a recorded answer
)

const (
	bearerPrefix   = "Bearer "
	maxKeyBytes    = 255
	maxBearerBytes = 512
)

// requestMeta holds the id of a request, the caller's deployment, and the deadline,
// priority and idempotency key from the headers.
type requestMeta struct {
	request    string
	deployment *saddlewire.Deployment
	deadline   time.Time
	priority   int32
	key        string
}

// identify authenticates a request and reads its headers. Errors are of type *failure.
func (s *Server) identify(now time.Time, c echo.Context) (requestMeta, error) {
	out := requestMeta{request: uuid.NewString()}
	c.Response().Header().Set(HeaderRequest, out.request)
	view := s.subscriber.View()
	if !view.Ready {
		return out, notRunFailure(fireflysaddle.CodeNotReady, "this entry has no configuration yet", notReadyRetryAfter)
	}
	d, err := authenticate(view.DeploymentsByKeyHash, c.Request().Header.Get(echo.HeaderAuthorization))
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
		return out, notRunFailure(fireflysaddle.CodeBadRequest, fmt.Sprintf("%s exceeds %d bytes", HeaderKey, maxKeyBytes), 0)
	}
	return out, nil
}

// notReadyRetryAfter is the Retry-After of refusals by an entry that has not received
// its configuration yet.
const notReadyRetryAfter = time.Second

// authenticate returns the deployment of a bearer key. Only hashes of keys are stored
// and compared, so the duration of the look-up reveals nothing about a key.
func authenticate(deploymentsByKeyHash map[string]*saddlewire.Deployment, header string) (*saddlewire.Deployment, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" || len(token) > maxBearerBytes {
		return nil, notRunFailure(fireflysaddle.CodeUnauthorized, "a bearer key is required", 0)
	}
	sum := sha256.Sum256([]byte(token))
	d, ok := deploymentsByKeyHash[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, notRunFailure(fireflysaddle.CodeUnauthorized, "the bearer key is not known", 0)
	}
	return d, nil
}

func (s *Server) deadline(now time.Time, d *saddlewire.Deployment, header string) (time.Time, error) {
	timeout := time.Duration(d.GetTimeoutMs()) * time.Millisecond
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			return now, notRunFailure(fireflysaddle.CodeBadRequest, HeaderTimeout+" must be a whole number of milliseconds above 0", 0)
		}
		timeout = time.Duration(min(ms, s.cfg.MaxTimeout.Milliseconds())) * time.Millisecond
	}
	return now.Add(min(timeout, s.cfg.MaxTimeout)), nil
}

// priority returns the requested priority, limited to the deployment's priority.
func priority(d *saddlewire.Deployment, header string) (int32, error) {
	if header == "" {
		return 0, nil
	}
	p, err := strconv.ParseInt(header, 10, 32)
	if err != nil {
		return 0, notRunFailure(fireflysaddle.CodeBadRequest, HeaderPriority+" must be a whole number", 0)
	}
	return min(int32(p), d.GetPriority()), nil
}

// grant returns the deployment's grant for a group of the given kind.
func grant(d *saddlewire.Deployment, kind fireflysaddle.TargetKind, group string) (*saddlewire.Grant, error) {
	for _, g := range d.GetGrants() {
		if g.GetGroup() == group && g.GetKind() == string(kind) {
			return g, nil
		}
	}
	return nil, notRunFailure(fireflysaddle.CodeNotGranted, fmt.Sprintf("workspace %q may not use %s %q", d.GetWorkspace(), kind, group), 0)
}

// ticket returns the ticket of one attempt. It uses the latest known revision of the
// deployment, which may be newer than the revision at the request's arrival.
func (s *Server) ticket(now time.Time, meta requestMeta, attempt uint32, incarnation fireflysaddle.Incarnation) *saddlewire.Ticket {
	d := meta.deployment
	if latest, ok := s.subscriber.View().Deployments[d.GetWorkspace()]; ok {
		d = latest
	}
	return &saddlewire.Ticket{
		Request:     meta.request,
		Attempt:     attempt,
		Workspace:   d.GetWorkspace(),
		Revision:    d.GetRevision(),
		Incarnation: uint64(incarnation),
		BudgetMs:    meta.deadline.Sub(now).Milliseconds(),
		Priority:    meta.priority,
		Weight:      d.GetWeight(),
		Stamp:       s.cfg.Timeline.Stamp(now),
	}
}
