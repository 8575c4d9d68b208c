package saddlegateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// crashingDesks are the plain targets of several entries. Each ends when it is to run the fatal
// request of a workspace, and accepts nothing until it starts again.
type crashingDesks struct {
	entries []*fixture
	started uint64

	mu      sync.Mutex
	ended   map[string]bool // by address
	reached int             // fatal requests that reached targets
}

func newCrashingDesks(t *testing.T, entries int) *crashingDesks {
	t.Helper()
	d := &crashingDesks{ended: map[string]bool{}, started: 1}
	for range entries {
		d.entries = append(d.entries, newFixture(t, d.answer))
	}
	for _, f := range d.entries {
		f.fakeTargets.ended = d.hasEnded
	}
	return d
}

func (d *crashingDesks) hasEnded(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended[address]
}

func (d *crashingDesks) answer(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended[f.Address] {
		return nil, &fireflysaddle.NotSentError{Address: f.Address}
	}
	if string(f.Body) != "fatal" || f.Workspace != "small" {
		return okReply("data: done\n\n"), nil
	}
	d.reached++
	d.ended[f.Address] = true
	return nil, &fireflysaddle.TargetError{Target: f.Target, Err: errReset}
}

// restart starts the targets that have ended again, of which all entries learn.
func (d *crashingDesks) restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	for _, f := range d.entries {
		u := &saddlewire.Update{}
		for address := range d.ended {
			u.Registrations = append(u.Registrations, &saddlewire.Registration{
				Id: fmt.Sprint(address, "-", d.started), Group: "desk", Address: address, Centre: "a", Incarnation: d.started,
			})
		}
		f.builder.Update("control", u)
		f.fleet.Update(time.Now(), f.builder.Build())
	}
	clear(d.ended)
}

func identicalCall(path, body, key string) *saddlegateway.Call {
	c := call(path)
	c.Body, c.Key, c.Header = []byte(body), key, http.Header{}
	return c
}

// Pattern: a request ends each target that runs it, is repeated at other entries, and ends the
// targets again when they are back.
// Guards against an entry that sends a repeat on because others have seen the crashes.
func TestRepeatsOfARequestThatEndsTargetsAreRefusedByAllEntries(t *testing.T) {
	for _, path := range []string{"/file/", "/status/", "/feed/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				desks := newCrashingDesks(t, 3)
				detector := saddlequarantine.New()
				for i := range 12 {
					f := desks.entries[i%len(desks.entries)]
					f.serve(identicalCall(path, "fatal", "key"))
					synctest.Wait()
					exchange(f.now.Add(time.Duration(i)*100*time.Millisecond), detector, desks.entries...)
					desks.restart()
					time.Sleep(3 * time.Second)
				}
				is.True(desks.reached >= 3)
				is.True(desks.reached <= 4) // the third crash may be the first attempt of a request with two
				for _, f := range desks.entries {
					got := f.serve(identicalCall(path, "fatal", "key"))
					is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
					is.Equal(got.refusal.Code, fireflysaddle.CodeQuarantined)
					for _, other := range []*saddlegateway.Call{identicalCall(path, "sound", "key"), identicalCall(path, "fatal", "key-2")} {
						is.Equal(f.serve(other).body.String(), "data: done\n\n")
					}
				}
			})
		})
	}
}

// A target that breaks off an answer but still accepts connections has not been ended by the
// request.
func TestRequestWhoseTargetGoesOnIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return truncatedReply("do"), nil })
		for range 10 {
			f.serve(identicalCall("/status/", "sound", "key"))
			time.Sleep(time.Second)
		}
		m := &saddlewire.Member{}
		f.gateway.AddBlames(time.Now(), m)
		is.Equal(len(m.GetBlames()), 0)
	})
}
