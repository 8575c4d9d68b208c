package saddlebench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlepath"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
)

// pathSettings holds the flags of the path command.
type pathSettings struct {
	options
	callers   int
	drafts    int           // drafts per caller and path on average; the path of each draft is chosen at random
	tokens    int           // tokens per draft
	tokenTime time.Duration // time that the engine takes per token
}

// pathTimes holds the latencies of the drafts sent over one path: directly to the
// engine, or via the entry.
type pathTimes struct {
	mu         sync.Mutex
	firstToken *saddlereport.DurationHistogram
	interToken *saddlereport.DurationHistogram // mean time between the tokens of a draft
	err        error                           // error of the latest draft that failed
}

func newPathTimes() *pathTimes {
	return &pathTimes{firstToken: saddlereport.NewDurationHistogram(), interToken: saddlereport.NewDurationHistogram()}
}

func (p *pathTimes) add(d saddlepath.Draft, tokens int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.err = err
		return
	}
	p.firstToken.Add(d.FirstToken, 1)
	p.interToken.Add((d.Total-d.FirstToken)/time.Duration(max(tokens-1, 1)), 1)
}

// runPath measures the latency that entry and agent add to the calls of an engine.
// One run sends drafts over both paths in random order, so that both paths are
// measured under the same conditions.
func runPath(ctx context.Context, args []string, out io.Writer) error {
	var s pathSettings
	var err error
	s.options, err = parseFlags("path", args, out, func(fs *flag.FlagSet) {
		fs.IntVar(&s.callers, "callers", 4, "number of concurrent callers")
		fs.IntVar(&s.drafts, "drafts", 200, "drafts per caller and path")
		fs.IntVar(&s.tokens, "tokens", 20, "tokens per draft")
		fs.DurationVar(&s.tokenTime, "token-time", 2*time.Millisecond, "time that the engine takes per token")
	})
	if err != nil {
		return err
	}
	f, cleanup, err := saddlepath.New(ctx, s.tokenTime)
	if err != nil {
		return err
	}
	defer cleanup()
	direct, viaEntry := newPathTimes(), newPathTimes()
	var wg sync.WaitGroup
	for i := range s.callers {
		wg.Go(func() { s.sendDrafts(ctx, rand.New(rand.NewPCG(s.seed, uint64(i))), f, direct, viaEntry) })
	}
	wg.Wait()
	for _, p := range []*pathTimes{direct, viaEntry} {
		if p.err != nil {
			return p.err
		}
	}
	return s.table(direct, viaEntry).Write(out, s.json)
}

// sendDrafts sends the drafts of one caller, each over a path chosen at random.
func (s pathSettings) sendDrafts(ctx context.Context, r *rand.Rand, f *saddlepath.Fleet, direct, viaEntry *pathTimes) {
	for n := range 2 * s.drafts {
		prompt := strings.Repeat("wall ", 1+r.IntN(100)) + fmt.Sprint(n)
		if r.IntN(2) == 0 {
			d, err := f.DraftDirect(ctx, prompt, s.tokens)
			direct.add(d, s.tokens, err)
			continue
		}
		d, err := f.DraftViaEntry(ctx, prompt, s.tokens)
		viaEntry.add(d, s.tokens, err)
	}
}

func (s pathSettings) table(direct, viaEntry *pathTimes) *saddlereport.Table {
	t := &saddlereport.Table{
		Name: "path",
		Settings: fmt.Sprintf("seed %d, %d callers, about %d drafts each way and caller, %d tokens of %v, loopback, times by those of the engine called directly",
			s.seed, s.callers, s.drafts, s.tokens, s.tokenTime),
		Columns: []string{"figure", "p50 through by direct", "p99 through by direct", "added p50 by token time", "added p99 by token time"},
	}
	addRow := func(name string, viaEntry, direct *saddlereport.DurationHistogram) {
		cells := []string{name}
		for _, q := range []float64{50, 99} {
			cells = append(cells, saddlereport.FormatRatio(float64(viaEntry.Percentile(q))/float64(max(direct.Percentile(q), 1))))
		}
		for _, q := range []float64{50, 99} {
			cells = append(cells, saddlereport.FormatRatio(float64(viaEntry.Percentile(q)-direct.Percentile(q))/float64(max(s.tokenTime, 1))))
		}
		t.Add(cells...)
	}
	addRow("first token", viaEntry.firstToken, direct.firstToken)
	addRow("time between tokens", viaEntry.interToken, direct.interToken)
	return t
}
