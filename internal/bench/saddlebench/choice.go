package saddlebench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
)

const (
	choiceDuration  = 240 * time.Second
	warmupDivisor   = 4 // the first 1/warmupDivisor of the run is not measured
	workspaceCount  = 10
	templateCount   = 200
	serviceFraction = 0.05 // fraction of the requests that are service calls
)

// choiceSettings holds the flags of the choice command.
type choiceSettings struct {
	options
	engines              int
	load                 float64 // fraction of the token capacity of the fleet
	callers              float64 // callers per slot in the saturated scenario
	reportDelay          time.Duration
	reportInterval       time.Duration
	cacheEventDelay      time.Duration
	cacheEventDropPeriod int
	variants             bool // whether variants of the LatencyChooser are compared too
	duration             time.Duration
	scenario             string // empty: all scenarios
	chooserNames         string // separated by commas; empty: see choosers
}

// runChoice compares choosers of targets under a steady load, bursts and
// saturation.
func runChoice(ctx context.Context, args []string, out io.Writer) error {
	var s choiceSettings
	var err error
	s.options, err = parseFlags("choice", args, out, func(fs *flag.FlagSet) {
		fs.IntVar(&s.engines, "engines", 40, "engines of the fleet")
		fs.Float64Var(&s.load, "load", 0.8, "offered load as a fraction of the token capacity of the fleet")
		fs.Float64Var(&s.callers, "callers", 2, "callers per slot in the saturated scenario")
		fs.DurationVar(&s.reportDelay, "lag", 0, "added delay of load reports")
		fs.DurationVar(&s.reportInterval, "beat", saddlesim.DefaultConfig().LoadReportInterval, "interval of load reports on requests in progress, 0: reports come with answers only")
		fs.DurationVar(&s.cacheEventDelay, "events", 0, "delay of cache events, 0: none are sent")
		fs.IntVar(&s.cacheEventDropPeriod, "lose-events", 0, "one of this many cache events is lost, 0: none")
		fs.BoolVar(&s.variants, "all", false, "compare variants of the predicted way too")
		fs.DurationVar(&s.duration, "length", choiceDuration, "virtual length of each run")
		fs.StringVar(&s.scenario, "scenario", "", "run only this scenario: steady, bursts or saturated")
		fs.StringVar(&s.chooserNames, "ways", "", "compare only these ways, separated by commas")
	})
	if err != nil {
		return err
	}
	if err := s.check(); err != nil {
		return err
	}
	for _, scenario := range scenarios {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if s.scenario != "" && s.scenario != scenario {
			continue
		}
		if err := s.runScenario(scenario).Write(out, s.json); err != nil {
			return err
		}
	}
	return nil
}

var scenarios = []string{"steady", "bursts", "saturated"}

// check reports a scenario or a way that does not exist.
func (s choiceSettings) check() error {
	if s.scenario != "" && !slices.Contains(scenarios, s.scenario) {
		return fmt.Errorf("-scenario %q must be one of %q", s.scenario, scenarios)
	}
	if s.chooserNames == "" {
		return nil
	}
	var known []string
	for _, c := range append(baselines(), latencyChoosers()...) {
		known = append(known, c.name)
	}
	for _, name := range strings.Split(s.chooserNames, ",") {
		if !slices.Contains(known, name) {
			return fmt.Errorf("-ways: %q must be one of %q", name, known)
		}
	}
	return nil
}

// runScenario simulates a scenario once with each selected chooser. It returns a
// table with a row for each chooser.
func (s choiceSettings) runScenario(scenario string) *saddlereport.Table {
	fleet := saddleload.GenerateFleet(s.seed, s.engines)
	t := &saddlereport.Table{
		Name: "choice, " + scenario,
		Settings: fmt.Sprintf("seed %d, %d engines, %d entries, load %.2f, %.1f callers a slot, lag %v, beat %v, cache events after %v less one of %d, %v from %v on",
			s.seed, s.engines, saddlesim.DefaultConfig().Entries, s.load, s.callers, s.reportDelay, s.reportInterval, s.cacheEventDelay, s.cacheEventDropPeriod, s.duration, s.duration/warmupDivisor),
		Columns: []string{"way", "tokens by bound", "first p50 ms", "p95", "p99", "between p95 ms", "prefix hits", "attempts", "refused"},
	}
	for _, c := range s.choosers() {
		metrics := s.runChooser(scenario, fleet, c)
		t.Add(c.name,
			saddlereport.FormatRatio(metrics.TokensPerSecond()/saddleload.Capacity(fleet)),
			saddlereport.FormatMs(metrics.FirstTokenLatency.Percentile(50)), saddlereport.FormatMs(metrics.FirstTokenLatency.Percentile(95)), saddlereport.FormatMs(metrics.FirstTokenLatency.Percentile(99)),
			saddlereport.FormatMs(metrics.InterTokenLatency.Percentile(95)),
			saddlereport.FormatRatio(metrics.CacheHitRatio()),
			saddlereport.FormatRatio(metrics.AttemptsPerRequest()),
			fmt.Sprint(metrics.Refused))
	}
	return t
}

// choosers returns the choosers to compare: those that -ways names or, with -all,
// all of them. Without these flags, it returns the baselines, the LatencyChooser
// and the LatencyChooser without prefix hints.
func (s choiceSettings) choosers() []namedChooser {
	choosers := append(baselines(), latencyChoosers()...)
	switch {
	case s.chooserNames != "":
		names := strings.Split(s.chooserNames, ",")
		return slices.DeleteFunc(choosers, func(c namedChooser) bool { return !slices.Contains(names, c.name) })
	case s.variants:
		return choosers
	}
	return choosers[:len(baselines())+2]
}

// runChooser simulates a scenario with one chooser. The saturated scenario is a
// closed loop of drafts only, without service calls. The other scenarios are open loops.
func (s choiceSettings) runChooser(scenario string, fleet []saddleload.Engine, c namedChooser) *saddlesim.Metrics {
	cfg := saddlesim.DefaultConfig()
	cfg.Seed = s.seed
	cfg.Engines = fleet
	cfg.NewChooser = c.newChooser
	cfg.LoadReportDelay = s.reportDelay
	cfg.LoadReportInterval = s.reportInterval
	cfg.CacheEventDelay = s.cacheEventDelay
	cfg.CacheEventDropPeriod = s.cacheEventDropPeriod
	cfg.Warmup = s.duration / warmupDivisor
	cfg.Duration = s.duration
	load := saddleload.Config{
		Seed:            s.seed,
		ArrivalPattern:  saddleload.ArrivalPattern(scenario),
		Rate:            s.load * saddleload.Capacity(fleet) / saddleload.MeanTokens / (1 - serviceFraction),
		TotalDuration:   s.duration,
		Workspaces:      workspaceCount,
		Templates:       templateCount,
		ServiceFraction: serviceFraction,
	}
	if scenario == "saturated" {
		load.ServiceFraction = 0
		slots := 0
		for _, e := range fleet {
			slots += e.Slots
		}
		return saddlesim.New(cfg).RunClosedLoop(int(s.callers*float64(slots)), saddleload.NewGenerator(load))
	}
	return saddlesim.New(cfg).RunOpenLoop(saddleload.Generate(load))
}
