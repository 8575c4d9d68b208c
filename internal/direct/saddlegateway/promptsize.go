package saddlegateway

// smallPromptFraction and largePromptFactor bound the size classes of prompts, relative to the
// mean prompt that the configuration states for the model.
const (
	smallPromptFraction = 0.5
	largePromptFactor   = 2
)

// promptSize returns the size class of the call's prompt, empty if the call has none or its pool
// states no mean.
func (j *job) promptSize() string {
	if j.pool == nil || j.pool.Model == nil || j.call.PromptTokens <= 0 || j.pool.Model.MeanPromptTokens <= 0 {
		return ""
	}
	switch relative := float64(j.call.PromptTokens) / float64(j.pool.Model.MeanPromptTokens); {
	case relative <= smallPromptFraction:
		return "small"
	case relative > largePromptFactor:
		return "large"
	}
	return "medium"
}
