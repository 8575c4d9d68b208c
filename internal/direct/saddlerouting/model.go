package saddlerouting

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Model is what the engines of a pool run, and what their accelerators can hold.
type Model struct {
	Layers                 int
	LayerMB                float64
	TokenBytes             float64       // KV cache of one token over all layers
	LoadTime               time.Duration // of the whole model, by one engine
	Step                   time.Duration // of one token step over all layers, at pace 1
	PrefillTokensPerSecond float64       // prompt tokens over all layers, at read factor 1
	ActivationBytes        float64       // bytes of one token's activations between engines
	LinkBytesPerSecond     float64       // bytes a second between two data centres, for all engines; 0: not known
	MeanPromptTokens       int           // mean tokens of a prompt
	MeanAnswerTokens       int           // mean tokens of an answer
	Accelerators           map[fireflysaddle.Accelerator]Accelerator
}

// Accelerator is one kind of accelerator.
type Accelerator struct {
	MemoryMB      float64
	Pace          float64 // factor on the time of steps
	PrefillFactor float64 // factor on the time of reading prompts
}

// MostLayers returns how many layers an accelerator holds with room for a number
// of tokens.
func (m *Model) MostLayers(a Accelerator, tokens int) int {
	return min(m.Layers, int(a.MemoryMB/(m.LayerMB+float64(tokens)*m.tokenLayerMB())))
}

// Room returns how many tokens an accelerator has room for at each of the layers
// that it holds.
func (m *Model) Room(a Accelerator, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*m.LayerMB
	return max(0, int(free/(m.tokenLayerMB()*float64(layers))))
}

// tokenLayerMB is the KV cache of one token at one layer.
func (m *Model) tokenLayerMB() float64 {
	return m.TokenBytes / float64(max(1, m.Layers)) / bytesPerMB
}

const bytesPerMB = 1e6

// StepTime returns the time of one token step at some layers of an accelerator,
// without what other requests add.
func (m *Model) StepTime(a Accelerator, layers int) time.Duration {
	return time.Duration(float64(m.Step) * a.Pace * float64(layers) / float64(max(1, m.Layers)))
}

// ReadTime returns the time of reading prompt tokens at some layers.
func (m *Model) ReadTime(a Accelerator, layers, tokens int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	share := float64(layers) / float64(max(1, m.Layers))
	return time.Duration(float64(tokens) / m.PrefillTokensPerSecond * a.PrefillFactor * share * float64(time.Second))
}
