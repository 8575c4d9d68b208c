package saddlebench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
)

const (
	recoveryEngines = 40
	recoveryLoad    = 0.5 // of the bound of the whole fleet
	recoveryLength  = 150 * time.Second
	faultAt         = 60 * time.Second
	slowDivisor     = 20.0
)

// recoveryCase is one kind of fault of a third of the engines.
type recoveryCase struct {
	name  string
	slow  float64 // divisor of the rate, 0: lost
	until time.Duration
	lost  time.Duration // after which control takes a target for lost
}

func recoveryCases() []recoveryCase {
	return []recoveryCase{
		{name: "lost", lost: saddlesim.DefaultConfig().TargetLostTimeout},
		{name: "lost, control cut off", lost: recoveryLength},
		{name: "lost, back after 10 s", until: faultAt + 10*time.Second, lost: saddlesim.DefaultConfig().TargetLostTimeout},
		{name: "slow by 20", slow: slowDivisor},
	}
}

// runRecovery measures attempts and times while a third of the engines are
// lost or slow.
func runRecovery(ctx context.Context, args []string, out io.Writer) error {
	o, err := parse("recovery", args, out, nil)
	if err != nil {
		return err
	}
	fleet := saddleload.Fleet(o.seed, recoveryEngines)
	t := &saddlefigure.Table{
		Name: "recovery",
		Settings: fmt.Sprintf("seed %d, %d engines, load %.1f, every third engine fails at %v, %v in all",
			o.seed, recoveryEngines, recoveryLoad, faultAt, recoveryLength),
		Columns: []string{
			"fault", "attempts from the fault on", "affected", "first served s", "last served s", "not served",
			"failed", "refused", "first token p99 ms", "p99 before the fault",
		},
	}
	before := recoveryRun(o.seed, fleet, recoveryCase{lost: recoveryLength})
	for _, c := range recoveryCases() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f := recoveryRun(o.seed, fleet, c)
		t.Add(c.name, saddlefigure.Share(f.AttemptsPerRequest()), fmt.Sprint(f.Affected),
			fmt.Sprintf("%.2f", f.FirstRecovery.Seconds()), fmt.Sprintf("%.2f", f.LastRecovery.Seconds()), fmt.Sprint(f.AffectedNotAnswered),
			fmt.Sprint(f.Failed), fmt.Sprint(f.Refused),
			saddlefigure.Ms(f.FirstTokenLatency.At(99)), saddlefigure.Ms(before.FirstTokenLatency.At(99)))
	}
	return t.Write(out, o.json)
}

// recoveryRun runs one case; a case without a name has no fault.
func recoveryRun(seed uint64, fleet []saddleload.Engine, c recoveryCase) *saddlesim.Metrics {
	cfg := saddlesim.DefaultConfig()
	cfg.Seed = seed
	cfg.Engines = fleet
	cfg.TargetLostTimeout = c.lost
	cfg.Warmup = faultAt
	cfg.Duration = recoveryLength
	cfg.NewChooser = func(seed uint64) fireflysaddle.Chooser { return saddlechoice.NewLatencyChooser(source(seed)) }
	if c.name != "" {
		for i := 0; i < len(fleet); i += 3 {
			cfg.Faults = append(cfg.Faults, saddlesim.Fault{At: faultAt, Engine: i, Slowdown: c.slow, Until: c.until})
		}
	}
	load := saddleload.Config{
		Seed:       seed,
		Shape:      saddleload.Steady,
		Rate:       recoveryLoad * saddleload.Bound(fleet) / saddleload.MeanTokens,
		Length:     recoveryLength,
		Workspaces: workspaces,
		Templates:  templates,
	}
	return saddlesim.New(cfg).RunOpenLoop(saddleload.Draw(load))
}
