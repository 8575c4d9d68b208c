package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	enginesPerZone  = 2
	usualCallers    = 40               // of each machine
	warmUpTime      = 20 * time.Second // some 100 streams per entry
	stopRounds      = 2
	minStopGap      = time.Second
	maxStopGap      = 3 * time.Second
	restartDelay    = 300 * time.Millisecond // from the exit of a process to its next start
	roundGap        = 6 * time.Second
	changeInterval  = 300 * time.Millisecond
	usualSlowTime   = 8                // s from a SIGTERM, in the zone of the machine, with the trouble
	engineDrainTime = 12 * time.Second // with MOVE=1
	secondTermDelay = time.Second      // with SIGNALS=1
	reloadDelay     = 2 * time.Second  // as above
)

// series is the state of the case.
type series struct {
	c          *cluster
	trouble    bool
	signals    bool // a second SIGTERM and a SIGHUP during the grace time
	move       bool // layers have to move as a leader stops
	rng        *rand.Rand
	lengths    func(rng *rand.Rand) int // events of a stream
	paces      map[string]*pace         // by zone
	farPercent int                      // of the callers' estimates that are far too low
	spread     int                      // of the estimates, see usualSpread
	slowTime   time.Duration
	work       *workLog

	mu      sync.Mutex
	streams []*stream
	stops   []*vmStop
	wg      sync.WaitGroup // restarts
}

// vmStop is a SIGTERM to a machine.
type vmStop struct {
	vm     *vm
	termAt time.Time
	led    bool                 // its control process was the leader
	exits  map[string]exitState // by name of process
}

// exitState is the end of a process.
type exitState struct {
	at     time.Time
	killed bool
}

// stopsInSeries checks that streams end whole or are refused while machines are stopped one
// after another, overlapping, and callers keep using open connections.
func stopsInSeries(c *cluster, trouble bool) error {
	seed, slowdown := setting("SEED", rand.IntN(1000)), setting("SLOW", usualSlowdown)
	s := &series{
		c: c, trouble: trouble, signals: os.Getenv("SIGNALS") == "1", move: os.Getenv("MOVE") == "1",
		rng:     rand.New(rand.NewPCG(uint64(seed), 0)),
		lengths: shortLength, paces: map[string]*pace{}, farPercent: setting("FAR", 0), spread: setting("SPREAD", usualSpread),
		slowTime: time.Duration(setting("SLOWTIME", usualSlowTime)) * time.Second, work: newWorkLog(),
	}
	for _, zone := range zones {
		s.paces[zone] = &pace{factor: slowdown}
	}
	switch os.Getenv("LENGTHS") {
	case "even":
		s.lengths = evenLength
	case "site":
		s.lengths = siteLength
	}
	c.rec.addf("seed %d", seed)
	fmt.Println("seed", seed)
	if err := s.prepare(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	perVM := setting("CALLERS", usualCallers)
	for i, v := range c.vms {
		for n := range perVM {
			rng := rand.New(rand.NewPCG(uint64(seed), uint64(1+i*perVM+n)))
			callers.Go(func() { s.call(ctx, v, rng, n%2 == 0) })
		}
	}
	time.Sleep(warmUpTime)
	callers.Go(func() { s.change(ctx) })
	for range stopRounds {
		s.stopAll()
		s.wg.Wait()
		time.Sleep(roundGap)
	}
	cancel()
	callers.Wait()
	return s.verdict()
}

// setting returns a number of the environment, or a default.
func setting(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// prepare starts the machines without disks and the engines, and waits until all serve.
func (s *series) prepare() error {
	c := s.c
	for _, name := range []string{"joburg-a 2", "joburg-a 3", "pretoria-b 2", "midrand-c 2"} {
		zone, n, _ := strings.Cut(name, " ")
		if err := c.addEntry("front-"+zone+"-"+n, zone); err != nil {
			return err
		}
	}
	for i := range enginesPerZone * len(zones) {
		if err := s.startEngine(fmt.Sprintf("i-engine-%d", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if _, err := c.submit(1, s.table(1).encode()); err != nil {
		return err
	}
	if err := c.awaitReady(30 * time.Second); err != nil {
		return err
	}
	for _, v := range c.vms {
		if err := c.writeSettings(v, false); err != nil { // for the restarts
			return err
		}
	}
	time.Sleep(contactTime + configApplyTime)
	return nil
}

// table returns a version of the configuration. Versions differ in the tenant's priority.
func (s *series) table(version int) *table {
	t := newTable(version, desk)
	t.Tenants[0].Priority = 1 + version%3
	t.addModel()
	engine := t.Backends[len(t.Backends)-1].Engine
	engine["kinds"] = []any{map[string]any{"name": engineKind, "mb": splitMemory, "pace": 1.4, "read_factor": 1.0}}
	return t
}

// change submits a new version at an interval.
func (s *series) change(ctx context.Context) {
	for version := 2; ctx.Err() == nil; version++ {
		if _, err := s.c.submit(version, s.table(version).encode()); err != nil {
			s.c.rec.addf("operator: %v", err)
		}
		time.Sleep(changeInterval)
	}
}

// stopAll stops the machines in random order, the leader's as the second one.
func (s *series) stopAll() {
	vms := append([]*vm(nil), s.c.vms...)
	s.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	leader := s.c.leader()
	for i, v := range vms {
		if v == leader {
			vms[i], vms[1] = vms[1], vms[i]
		}
	}
	for _, v := range vms {
		s.stopVM(v)
		time.Sleep(minStopGap + time.Duration(s.rng.Int64N(int64(maxStopGap-minStopGap))))
	}
}

// stopVM sends SIGTERM to a machine. Its processes are killed after the grace time, and
// start again after they have ended.
func (s *series) stopVM(v *vm) {
	stop := &vmStop{vm: v, termAt: time.Now(), led: s.c.leader() == v, exits: map[string]exitState{}}
	s.c.rec.addf("SIGTERM to %s, leader: %v", v.name, stop.led)
	if s.trouble {
		s.paces[v.zone].slowUntil(stop.termAt.Add(s.slowTime))
	}
	if s.move && stop.led {
		s.drainEngines()
	}
	s.mu.Lock()
	s.stops = append(s.stops, stop)
	s.mu.Unlock()
	for _, p := range v.processes() {
		p.signal(syscall.SIGTERM)
		s.wg.Go(func() { s.restart(stop, p) })
		if s.signals {
			s.signalAgain(p)
		}
	}
}

// drainEngines has all engines but one with the last layers drain for a time, so that others
// have to give up theirs.
func (s *series) drainEngines() {
	kept := false
	for _, t := range s.c.targets {
		t.mu.Lock()
		last := t.engine.to == modelLayers
		if last && kept {
			t.state = "draining"
			s.c.rec.addf("%s drains", t.id)
			time.AfterFunc(engineDrainTime, func() { t.setState("ready") })
		}
		kept = kept || last
		t.mu.Unlock()
	}
}

func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// signalAgain sends further signals to a process that is stopping.
func (s *series) signalAgain(p *process) {
	cmd, done := p.cmd, p.done
	for sig, delay := range map[syscall.Signal]time.Duration{syscall.SIGTERM: secondTermDelay, syscall.SIGHUP: reloadDelay} {
		time.AfterFunc(delay, func() {
			select {
			case <-done:
			default:
				s.c.rec.addf("second signal to %s: %v", p.name, sig)
				_ = cmd.Process.Signal(sig) // may have ended
			}
		})
	}
}

// restart kills a process at the end of the grace time and starts it again.
func (s *series) restart(stop *vmStop, p *process) {
	killed := false
	select {
	case <-p.done:
	case <-time.After(time.Until(stop.termAt.Add(graceTime))):
		killed = true
		p.kill()
	}
	now := time.Now()
	s.mu.Lock()
	stop.exits[p.name] = exitState{at: now, killed: killed}
	s.mu.Unlock()
	s.c.rec.addf("%s has ended %v after SIGTERM, killed: %v, %v", p.name, now.Sub(stop.termAt).Round(time.Millisecond), killed, p.cmd.ProcessState)
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		s.c.rec.addf("%s does not start: %v", p.name, err)
	}
}
