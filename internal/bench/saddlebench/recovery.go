package saddlebench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
)

const (
	recoveryEngines  = 40
	recoveryLoad     = 0.5 // fraction of the token capacity of the whole fleet
	recoveryDuration = 150 * time.Second
	faultTime        = 60 * time.Second
	faultSlowdown    = 20.0 // divisor of the token rate
)

// recoveryCase is a kind of fault that affects a third of the engines.
type recoveryCase struct {
	name              string
	slowdown          float64       // divisor of the token rate; 0: the engine and its agent are lost
	until             time.Duration // end of the fault, from the start of the run; 0: it does not end
	targetLostTimeout time.Duration // time after which control removes a lost target
}

func recoveryCases() []recoveryCase {
	return []recoveryCase{
		{name: "lost", targetLostTimeout: saddlesim.DefaultConfig().TargetLostTimeout},
		{name: "lost, control cut off", targetLostTimeout: recoveryDuration}, // control removes no target during the run
		{name: "lost, back after 10 s", until: faultTime + 10*time.Second, targetLostTimeout: saddlesim.DefaultConfig().TargetLostTimeout},
		{name: "slow by 20", slowdown: faultSlowdown},
	}
}

// runRecovery measures attempts and recovery times while a third of the engines
// are lost or slow.
func runRecovery(ctx context.Context, args []string, out io.Writer) error {
	o, err := parseFlags("recovery", args, out, nil)
	if err != nil {
		return err
	}
	fleet := saddleload.GenerateFleet(o.seed, recoveryEngines)
	t := &saddlereport.Table{
		Name: "recovery",
		Settings: fmt.Sprintf("seed %d, %d engines, load %.1f, every third engine fails at %v, %v in all",
			o.seed, recoveryEngines, recoveryLoad, faultTime, recoveryDuration),
		Columns: []string{
			"fault", "attempts from the fault on", "affected", "first served s", "last served s", "not served",
			"failed", "refused", "first token p99 ms", "p99 before the fault",
		},
	}
	noFault := runRecoveryCase(o.seed, fleet, recoveryCase{targetLostTimeout: recoveryDuration})
	for _, c := range recoveryCases() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		metrics := runRecoveryCase(o.seed, fleet, c)
		t.Add(c.name, saddlereport.FormatRatio(metrics.AttemptsPerRequest()), fmt.Sprint(metrics.Affected),
			fmt.Sprintf("%.2f", metrics.FirstRecovery.Seconds()), fmt.Sprintf("%.2f", metrics.LastRecovery.Seconds()), fmt.Sprint(metrics.AffectedNotAnswered),
			fmt.Sprint(metrics.Failed), fmt.Sprint(metrics.Refused),
			saddlereport.FormatMs(metrics.FirstTokenLatency.Percentile(99)), saddlereport.FormatMs(noFault.FirstTokenLatency.Percentile(99)))
	}
	return t.Write(out, o.json)
}

// runRecoveryCase simulates one case. If the case has no name, no engine fails.
func runRecoveryCase(seed uint64, fleet []saddleload.Engine, c recoveryCase) *saddlesim.Metrics {
	cfg := saddlesim.DefaultConfig()
	cfg.Seed = seed
	cfg.Engines = fleet
	cfg.TargetLostTimeout = c.targetLostTimeout
	cfg.Warmup = faultTime
	cfg.Duration = recoveryDuration
	cfg.NewChooser = func(seed uint64) fireflysaddle.Chooser { return saddlechoice.NewLatencyChooser(newRand(seed)) }
	if c.name != "" {
		for i := 0; i < len(fleet); i += 3 {
			cfg.Faults = append(cfg.Faults, saddlesim.Fault{At: faultTime, Engine: i, Slowdown: c.slowdown, Until: c.until})
		}
	}
	load := saddleload.Config{
		Seed:           seed,
		ArrivalPattern: saddleload.Steady,
		Rate:           recoveryLoad * saddleload.Capacity(fleet) / saddleload.MeanTokens,
		TotalDuration:  recoveryDuration,
		Workspaces:     workspaceCount,
		Templates:      templateCount,
	}
	return saddlesim.New(cfg).RunOpenLoop(saddleload.Generate(load))
}
