package saddledemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	demoKey     = "volos-demo-key"
	workspace   = "volos"
	startTime   = 30 * time.Second // for all processes to be in touch
	inForceTime = 12 * time.Second // for a change to be in force everywhere
	shortDraft  = 24               // tokens
	longDraft   = 120              // tokens
	lossAt      = 40               // token at which a stage is lost
)

const templateBody = `name = "meet"

[parameters.key]
type = "string"
required = true

[parameters.weight]
type = "int"
default = "1"

[deployment]
keys = ["${key}"]
weight = "${weight}"
timeout = "%s"
models = [{ name = "mastori" }, { name = "mastori-small" }]
services = [{ name = "grammateia" }]
`

// Run runs the demo and writes its table. With hold it then stays up until the
// context ends. An error says that a promise did not hold or that the demo
// could not run.
func Run(ctx context.Context, out, logs io.Writer, hold bool) error {
	f, cleanup, err := newFleet(ctx, logs)
	if err != nil {
		return err
	}
	defer cleanup()
	d := &demo{fleet: f, caller: &caller{client: &http.Client{}, key: demoKey}}
	if err := d.steps(ctx); err != nil {
		return err
	}
	d.report.write(out)
	if hold {
		d.printTry(out)
		<-ctx.Done()
	}
	if n := d.report.broken(); n > 0 {
		return fmt.Errorf("%d promises did not hold", n)
	}
	return nil
}

// demo is one run.
type demo struct {
	fleet  *fleet
	caller *caller
	report report
}

func (d *demo) steps(ctx context.Context) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context){d.draftWhole, d.draftChain, d.fileOnce, d.revise, d.loseStage} {
		step(ctx)
	}
	for _, err := range d.fleet.failures() {
		d.report.add("all processes", err.Error(), "stay up", false)
	}
	return nil
}

// configure submits the first template and deployment and waits until every
// process is there and has them.
func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if _, err := d.putTemplate(ctx, 0, "30s"); err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(demoKey))
	result, err := d.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{
		Workspace:  workspace,
		Template:   "meet",
		Parameters: map[string]string{"key": hex.EncodeToString(hash[:])},
	}}})
	if err != nil {
		return err
	}
	_, err = d.awaitInForce(ctx, result.GetIndex())
	return err
}

func (d *demo) putTemplate(ctx context.Context, base uint64, timeout string) (*saddlewire.Result, error) {
	return d.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{
		Name: "meet",
		Base: base,
		Body: fmt.Sprintf(templateBody, timeout),
	}}})
}

func (d *demo) submit(ctx context.Context, c *saddlewire.Command) (*saddlewire.Result, error) {
	c.Request = uuid.NewString()
	result, err := d.fleet.client.Submit(ctx, c)
	if err == nil && !result.GetAccepted() {
		err = fmt.Errorf("refused: %s", result.GetMessage())
	}
	return result, err
}

// processes is the number of entries and agents of the fleet.
func (d *demo) processes() int {
	return len(d.fleet.entries) + len(d.fleet.engines) + len(d.fleet.desks)
}

// awaitInForce waits until every entry and agent with its target has said that
// a configuration is in force, and returns how many have.
func (d *demo) awaitInForce(ctx context.Context, index uint64) (int, error) {
	for {
		n := 0
		state, err := d.fleet.client.Read(ctx)
		for _, m := range state.GetMembers() {
			if m.GetRevision() >= index && (m.GetRole() == "entry" || m.GetTarget() != nil) {
				n++
			}
		}
		if n >= d.processes() {
			return n, nil
		}
		select {
		case <-ctx.Done():
			return n, fmt.Errorf("in force on %d of %d: %w", n, d.processes(), err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *demo) draftWhole(ctx context.Context) {
	d.draft(ctx, "draft on one engine", wholeModel, shortDraft)
}

func (d *demo) draftChain(ctx context.Context) {
	d.draft(ctx, "draft on a chain of 3", chainModel, shortDraft)
}

// loseStage kills a stage that runs the draft.
func (d *demo) loseStage(ctx context.Context) {
	killed := ""
	asked := "draft with a stage lost"
	ran := d.draftWith(ctx, asked, chainModel, longDraft, func(tokens int) {
		if tokens != lossAt {
			return
		}
		killed = d.busyStage()
		d.fleet.engines[killed].Kill()
	})
	d.report.add(asked, "layer by layer", "each layer once per token, in order", saddlestandin.CheckOrderAfterLoss(ran, killed) == nil)
	again := slices.ContainsFunc(ran, func(e saddlestandin.Execution) bool { return e.Attempt != ran[0].Attempt })
	d.report.add(asked, "a spare took over", "the others run nothing twice", !again)
	d.report.add("kill of a stage", "killed "+killed, "keeps working through lost stages", killed != "")
}

// busyStage returns the middle stage that ran last.
func (d *demo) busyStage() string {
	all := d.fleet.journal.All()
	for _, e := range slices.Backward(all) {
		if e.LayerFrom > 0 && e.To < layers {
			return e.Engine
		}
	}
	return ""
}

// draft asks for a draft during which nothing fails.
func (d *demo) draft(ctx context.Context, asked, model string, n int) {
	ran := d.draftWith(ctx, asked, model, n, func(int) {})
	d.report.add(asked, "layer by layer", "each layer once per token, in order", saddlestandin.CheckOrder(ran) == nil)
}

// draftWith asks for a draft, calls each with the number of tokens so far, and
// returns what the engines ran.
func (d *demo) draftWith(ctx context.Context, asked, model string, n int, each func(int)) []saddlestandin.Execution {
	prompt := "explain the fault in the third course of the wall: " + asked
	before := len(d.fleet.journal.All())
	tokens, err := d.caller.draft(ctx, d.fleet.entries[0], model, prompt, n, each)
	ran := d.fleet.journal.All()[before:]
	whole := err == nil && slices.Equal(tokens, saddlestandin.ExpectedTokens(prompt, layers, uint32(n)))
	d.report.add(asked, fmt.Sprintf("%d positions", len(ran)), "the whole answer to its caller", whole)
	return ran
}

// fileOnce files with a key and resends through the other entry.
func (d *demo) fileOnce(ctx context.Context) {
	first, err := d.caller.file(ctx, d.fleet.entries[0], "result-7", `{"entrant":7}`)
	second, err2 := d.caller.file(ctx, d.fleet.entries[1], "result-7", `{"entrant":7}`)
	ran := 0
	for _, s := range d.fleet.desks {
		ran += len(s.Calls())
	}
	asked := "one filing, sent to both entries"
	d.report.add(asked, fmt.Sprintf("%d executions", ran), "at most once", ran == 1)
	d.report.add(asked, first, "both get the one answer", err == nil && err2 == nil && first == second)
}

// revise submits a revision of the template and waits until it is in force.
func (d *demo) revise(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceTime)
	defer cancel()
	start := time.Now()
	result, err := d.putTemplate(ctx, 1, "45s")
	if err != nil {
		d.report.add("template revision", err.Error(), "in force everywhere within seconds", false)
		return
	}
	n, err := d.awaitInForce(ctx, result.GetIndex())
	ran := fmt.Sprintf("in force on %d of %d in %d ms", n, d.processes(), time.Since(start).Milliseconds())
	d.report.add("template revision", ran, "in force everywhere within seconds", err == nil)
	_, err = d.putTemplate(ctx, 1, "50s")
	d.report.add("same revision again", fmt.Sprint(err), "a race has one winner", err != nil)
}

func (d *demo) printTry(w io.Writer) {
	_, _ = fmt.Fprintf(w, `
Try:
  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"mastori","prompt":"the wall leans","max_tokens":20,"stream":true}'
  curl -i http://%s/services/grammateia/results -H 'Authorization: Bearer %s' -H 'Idempotency-Key: k1' -d '{"entrant":9}'
  FIREFLYSADDLE_CONTROLS=%s go run ./cmd/saddlectl status
Ctrl-C ends it.
`, d.fleet.entries[0], demoKey, d.fleet.entries[1], demoKey, d.fleet.controlAddresses()[0])
}
