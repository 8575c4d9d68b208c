package saddlebench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
)

const (
	choiceLength = 240 * time.Second
	warmShare    = 4 // the first part of so many is not measured
	workspaces   = 10
	templates    = 200
	plainShare   = 0.05
)

// choiceSettings are the flags of the choice command.
type choiceSettings struct {
	options
	engines int
	load    float64
	callers float64
	lag     time.Duration
	beat    time.Duration
	events  time.Duration
	lose    int
	all     bool
	length  time.Duration
	only    string
	ways    string
}

// runChoice compares the ways of choosing a target under a steady load, bursts
// and saturation.
func runChoice(ctx context.Context, args []string, out io.Writer) error {
	var s choiceSettings
	var err error
	s.options, err = parse("choice", args, out, func(fs *flag.FlagSet) {
		fs.IntVar(&s.engines, "engines", 40, "engines of the fleet")
		fs.Float64Var(&s.load, "load", 0.8, "offered load as a share of the bound")
		fs.Float64Var(&s.callers, "callers", 2, "callers for each slot at saturation")
		fs.DurationVar(&s.lag, "lag", 0, "added lag of load reports")
		fs.DurationVar(&s.beat, "beat", saddlesim.DefaultConfig().LoadReportInterval, "between load reports on requests in progress, 0: reports come with answers only")
		fs.DurationVar(&s.events, "events", 0, "lag of cache events, 0: entries hear none")
		fs.IntVar(&s.lose, "lose-events", 0, "every so many cache events one is lost, 0: none")
		fs.BoolVar(&s.all, "all", false, "compare variants too")
		fs.DurationVar(&s.length, "length", choiceLength, "virtual length of each run")
		fs.StringVar(&s.only, "scenario", "", "steady, bursts or saturated only")
		fs.StringVar(&s.ways, "ways", "", "these ways only, separated by commas")
	})
	if err != nil {
		return err
	}
	for _, scenario := range []string{"steady", "bursts", "saturated"} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if s.only != "" && s.only != scenario {
			continue
		}
		if err := s.table(scenario).Write(out, s.json); err != nil {
			return err
		}
	}
	return nil
}

func (s choiceSettings) table(scenario string) *saddlefigure.Table {
	fleet := saddleload.Fleet(s.seed, s.engines)
	t := &saddlefigure.Table{
		Name: "choice, " + scenario,
		Settings: fmt.Sprintf("seed %d, %d engines, %d entries, load %.2f, %.1f callers a slot, lag %v, beat %v, cache events after %v less one of %d, %v from %v on",
			s.seed, s.engines, saddlesim.DefaultConfig().Entries, s.load, s.callers, s.lag, s.beat, s.events, s.lose, s.length, s.length/warmShare),
		Columns: []string{"way", "tokens by bound", "first p50 ms", "p95", "p99", "between p95 ms", "prefix hits", "attempts", "refused"},
	}
	for _, c := range s.compared() {
		f := s.run(scenario, fleet, c)
		t.Add(c.name,
			saddlefigure.Share(f.TokensPerSecond()/saddleload.Bound(fleet)),
			saddlefigure.Ms(f.FirstTokenLatency.At(50)), saddlefigure.Ms(f.FirstTokenLatency.At(95)), saddlefigure.Ms(f.FirstTokenLatency.At(99)),
			saddlefigure.Ms(f.InterTokenLatency.At(95)),
			saddlefigure.Share(f.CacheHitRatio()),
			saddlefigure.Share(f.AttemptsPerRequest()),
			fmt.Sprint(f.Refused))
	}
	return t
}

func (s choiceSettings) compared() []namedChooser {
	compared := append(baselines(), predictions()...)
	switch {
	case s.ways != "":
		ways := strings.Split(s.ways, ",")
		return slices.DeleteFunc(compared, func(c namedChooser) bool { return !slices.Contains(ways, c.name) })
	case s.all:
		return compared
	}
	return compared[:len(baselines())+2]
}

func (s choiceSettings) run(scenario string, fleet []saddleload.Engine, c namedChooser) *saddlesim.Metrics {
	cfg := saddlesim.DefaultConfig()
	cfg.Seed = s.seed
	cfg.Engines = fleet
	cfg.NewChooser = c.make
	cfg.LoadReportDelay = s.lag
	cfg.LoadReportInterval = s.beat
	cfg.CacheEventDelay = s.events
	cfg.CacheEventDropPeriod = s.lose
	cfg.Warmup = s.length / warmShare
	cfg.Duration = s.length
	load := saddleload.Config{
		Seed:            s.seed,
		Shape:           saddleload.Shape(scenario),
		Rate:            s.load * saddleload.Bound(fleet) / saddleload.MeanTokens / (1 - plainShare),
		Length:          s.length,
		Workspaces:      workspaces,
		Templates:       templates,
		ServiceFraction: plainShare,
	}
	if scenario == "saturated" {
		load.ServiceFraction = 0
		slots := 0
		for _, e := range fleet {
			slots += e.Slots
		}
		return saddlesim.New(cfg).RunClosedLoop(int(s.callers*float64(slots)), saddleload.NewDrawer(load))
	}
	return saddlesim.New(cfg).RunOpenLoop(saddleload.Draw(load))
}
