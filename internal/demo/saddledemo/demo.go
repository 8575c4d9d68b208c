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
	apiKey           = "volos-demo-key"
	workspace        = "volos"
	startTimeout     = 30 * time.Second // for all processes to connect and apply the configuration
	inForceTimeout   = 12 * time.Second // for a change to be in force on all processes
	shortDraftTokens = 24               // tokens of a draft without faults
	longDraftTokens  = 120              // enough to replace the engine that is killed after killAfterTokens
	killAfterTokens  = 40               // number of received tokens at which the engine is killed
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

// Run runs the demo and writes a table of the checks. With hold, it then keeps
// the system running until the context ends. It returns an error if a guarantee
// did not hold or the demo could not run.
func Run(ctx context.Context, out, logs io.Writer, hold bool) error {
	f, cleanup, err := newFleet(ctx, logs)
	if err != nil {
		return err
	}
	defer cleanup()
	d := &demo{fleet: f, caller: &caller{client: &http.Client{}, apiKey: apiKey}}
	if err := d.runSteps(ctx); err != nil {
		return err
	}
	d.report.write(out)
	if hold {
		d.printExamples(out)
		<-ctx.Done()
	}
	if n := d.report.failed(); n > 0 {
		return fmt.Errorf("%d guarantees did not hold", n)
	}
	return nil
}

// demo is one run of the demo.
type demo struct {
	fleet  *fleet
	caller *caller
	report report
}

func (d *demo) runSteps(ctx context.Context) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context){d.draftOnOneEngine, d.draftOnChain, d.postFromBothEntries, d.reviseTemplate, d.loseStageDuringDraft} {
		step(ctx)
	}
	for _, err := range d.fleet.failures() {
		d.report.add("all processes", err.Error(), "keep running", false)
	}
	return nil
}

// configure submits the first template and deployment and waits until they are
// in force on every process.
func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := d.putTemplate(ctx, 0, "30s"); err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(apiKey))
	result, err := d.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{
		Workspace:  workspace,
		Template:   "meet",
		Parameters: map[string]string{"key": hex.EncodeToString(hash[:])},
	}}})
	if err != nil {
		return err
	}
	_, err = d.waitInForce(ctx, result.GetIndex())
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

// processCount returns the number of entries and agents of the fleet. Each engine
// and each service has one agent.
func (d *demo) processCount() int {
	return len(d.fleet.entries) + len(d.fleet.engines) + len(d.fleet.services)
}

// waitInForce waits until every entry and every agent with a target has reported
// that the configuration at a log index, or a later one, is in force. It returns
// the number of processes that have reported this, also if the context ends first.
func (d *demo) waitInForce(ctx context.Context, index uint64) (int, error) {
	for {
		n := 0
		state, err := d.fleet.client.Read(ctx)
		for _, m := range state.GetMembers() {
			if m.GetRevision() >= index && (m.GetRole() == "entry" || m.GetTarget() != nil) {
				n++
			}
		}
		if n >= d.processCount() {
			return n, nil
		}
		select {
		case <-ctx.Done():
			return n, fmt.Errorf("configuration in force on %d of %d processes: %w", n, d.processCount(), err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *demo) draftOnOneEngine(ctx context.Context) {
	d.checkDraft(ctx, "draft on one engine", singleEngineModel, shortDraftTokens)
}

func (d *demo) draftOnChain(ctx context.Context) {
	d.checkDraft(ctx, "draft on a chain of 3", chainModel, shortDraftTokens)
}

// loseStageDuringDraft kills an engine that runs a stage of the draft, and checks
// that a spare engine replaces it.
func (d *demo) loseStageDuringDraft(ctx context.Context) {
	killedEngine := ""
	scenario := "draft with a stage lost"
	executions := d.runDraft(ctx, scenario, chainModel, longDraftTokens, func(tokens int) {
		if tokens != killAfterTokens {
			return
		}
		killedEngine = d.latestMiddleStageEngine()
		d.fleet.engines[killedEngine].Kill()
	})
	d.report.add(scenario, "layer by layer", "each layer once per token, in order", saddlestandin.CheckOrderAfterLoss(executions, killedEngine) == nil)
	restarted := slices.ContainsFunc(executions, func(e saddlestandin.Execution) bool { return e.Attempt != executions[0].Attempt })
	d.report.add(scenario, "a spare engine took over", "the other engines run nothing twice", !restarted)
	d.report.add("kill of a stage", "killed "+killedEngine, "a draft survives the loss of a stage", killedEngine != "")
}

// latestMiddleStageEngine returns the ID of the engine of the latest execution in a
// middle stage. A middle stage is neither the first nor the last stage of the
// chain. The ID is empty if no middle stage has run.
func (d *demo) latestMiddleStageEngine() string {
	all := d.fleet.journal.All()
	for _, e := range slices.Backward(all) {
		if e.LayerFrom > 0 && e.LayerTo < layerCount {
			return e.Engine
		}
	}
	return ""
}

// checkDraft runs a draft without faults and checks its execution order.
func (d *demo) checkDraft(ctx context.Context, scenario, model string, maxTokens int) {
	executions := d.runDraft(ctx, scenario, model, maxTokens, func(int) {})
	d.report.add(scenario, "layer by layer", "each layer once per token, in order", saddlestandin.CheckOrder(executions) == nil)
}

// runDraft requests a draft and checks its tokens. It returns what the engines
// executed. onToken is called after each token with the number of tokens received.
func (d *demo) runDraft(ctx context.Context, scenario, model string, maxTokens int, onToken func(int)) []saddlestandin.Execution {
	prompt := "explain the fault in the third course of the wall: " + scenario
	recordedBefore := len(d.fleet.journal.All())
	tokens, err := d.caller.draft(ctx, d.fleet.entries[0], model, prompt, maxTokens, onToken)
	executions := d.fleet.journal.All()[recordedBefore:]
	complete := err == nil && slices.Equal(tokens, saddlestandin.ExpectedTokens(prompt, layerCount, uint32(maxTokens)))
	d.report.add(scenario, fmt.Sprintf("%d positions", len(executions)), "the caller gets the whole answer", complete)
	return executions
}

// postFromBothEntries sends a request with an idempotency key through one entry,
// and then the same request through the other entry. It checks that the services
// ran the request once and that both entries returned the same answer.
func (d *demo) postFromBothEntries(ctx context.Context) {
	first, firstErr := d.caller.postOnce(ctx, d.fleet.entries[0], "result-7", `{"entrant":7}`)
	second, secondErr := d.caller.postOnce(ctx, d.fleet.entries[1], "result-7", `{"entrant":7}`)
	executions := 0
	for _, s := range d.fleet.services {
		executions += len(s.Calls())
	}
	scenario := "one request, sent to both entries"
	d.report.add(scenario, fmt.Sprintf("%d executions", executions), "at most once", executions == 1)
	d.report.add(scenario, first, "both get the same answer", firstErr == nil && secondErr == nil && first == second)
}

// reviseTemplate submits a revision of the template and waits until the revision
// is in force. It then checks that another change with the same base revision is
// refused.
func (d *demo) reviseTemplate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	start := time.Now()
	result, err := d.putTemplate(ctx, 1, "45s")
	if err != nil {
		d.report.add("template revision", err.Error(), "in force everywhere within seconds", false)
		return
	}
	n, err := d.waitInForce(ctx, result.GetIndex())
	observed := fmt.Sprintf("in force on %d of %d in %d ms", n, d.processCount(), time.Since(start).Milliseconds())
	d.report.add("template revision", observed, "in force everywhere within seconds", err == nil)
	_, err = d.putTemplate(ctx, 1, "50s")
	d.report.add("same revision again", fmt.Sprint(err), "one of two concurrent revisions is refused", err != nil)
}

func (d *demo) printExamples(w io.Writer) {
	_, _ = fmt.Fprintf(w, `
Try:
  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"mastori","prompt":"the wall leans","max_tokens":20,"stream":true}'
  curl -i http://%s/services/grammateia/results -H 'Authorization: Bearer %s' -H 'Idempotency-Key: k1' -d '{"entrant":9}'
  FIREFLYSADDLE_CONTROLS=%s go run ./cmd/saddlectl status
Ctrl-C ends it.
`, d.fleet.entries[0], apiKey, d.fleet.entries[1], apiKey, d.fleet.controlAddresses()[0])
}
