package saddlerouting

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Model describes the model that the engines of a pool run, and their accelerators.
type Model struct {
	Layers                 int
	LayerMB                float64
	TokenBytes             float64       // KV cache size of one token over all layers
	LoadTime               time.Duration // time in which one engine loads the whole model
	Step                   time.Duration // time of one decoding step over all layers, at step time factor 1
	PrefillTokensPerSecond float64       // prompt tokens processed per second over all layers, at prefill factor 1
	ChunkTokens            int           // prompt tokens that an engine processes at most in one pass; 0 if not known
	StepsPerPass           int           // decoding steps of one pass, at least 1
	ActivationBytes        float64       // size in bytes of one token's activations between engines
	LinkBytesPerSecond     float64       // bytes per second between two data centres, shared by all engines; 0 if not known
	MeanPromptTokens       int           // mean number of tokens of a prompt
	MeanAnswerTokens       int           // mean number of tokens of an answer
	Accelerators           map[fireflysaddle.Accelerator]Accelerator
}

// Accelerator describes a type of accelerator.
type Accelerator struct {
	MemoryMB       float64
	StepTimeFactor float64 // factor on the time of a decoding step
	PrefillFactor  float64 // factor on the time of processing a prompt
}

// HasLayers reports whether [from, to) is a range of layers of the model.
func (m *Model) HasLayers(from, to int) bool { return from >= 0 && from < to && to <= m.Layers }

// MaxLayers returns the number of layers that an accelerator can hold such that the
// KV cache of a number of tokens fits at each of them.
func (m *Model) MaxLayers(a Accelerator, tokens int) int {
	return min(m.Layers, int(a.MemoryMB/(m.LayerMB+float64(tokens)*m.cacheMBPerTokenLayer())))
}

// TokenCapacity returns the number of tokens whose KV cache fits at each of the layers
// that an accelerator holds.
func (m *Model) TokenCapacity(a Accelerator, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*m.LayerMB
	return max(0, int(free/(m.cacheMBPerTokenLayer()*float64(layers))))
}

// cacheMBPerTokenLayer returns the KV cache size in MB of one token at one layer.
func (m *Model) cacheMBPerTokenLayer() float64 {
	return m.TokenBytes / float64(max(1, m.Layers)) / bytesPerMB
}

const bytesPerMB = 1e6

// StepTime returns the time of one decoding step over a number of layers on an
// accelerator that runs no other requests.
func (m *Model) StepTime(a Accelerator, layers int) time.Duration {
	return time.Duration(float64(m.Step) * a.StepTimeFactor * float64(layers) / float64(max(1, m.Layers)))
}

// PrefillTime returns the time of processing prompt tokens over a number of layers, 0 if
// the rate is not known.
func (m *Model) PrefillTime(a Accelerator, layers, tokens int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	fraction := float64(layers) / float64(max(1, m.Layers))
	return time.Duration(float64(tokens) / m.PrefillTokensPerSecond * a.PrefillFactor * fraction * float64(time.Second))
}

// PrefillLimit returns the number of prompt tokens per second that an accelerator processes at
// most with a number of layers while it decodes, because one pass does both. It is 0 if it is
// not known.
func (m *Model) PrefillLimit(a Accelerator, layers int) float64 {
	if m.ChunkTokens <= 0 || m.PrefillTokensPerSecond <= 0 || layers <= 0 {
		return 0
	}
	pass := time.Duration(max(1, m.StepsPerPass))*m.StepTime(a, layers) + m.PrefillTime(a, layers, m.ChunkTokens)
	return float64(m.ChunkTokens) / max(pass, time.Nanosecond).Seconds()
}
