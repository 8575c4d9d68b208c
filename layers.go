package fireflysaddle

import "fmt"

// LayerRange is the half-open range [From, To) of the layers of a model that has
// ModelLayers layers in total.
type LayerRange struct {
	From        Layer
	To          Layer
	ModelLayers Layer
}

// Whole reports whether the range covers all layers of the model.
func (r LayerRange) Whole() bool {
	return r.From == 0 && r.To == r.ModelLayers
}

// Check returns a *LayerRangeError when the range is empty or exceeds the model.
func (r LayerRange) Check() error {
	if r.From >= r.To || r.To > r.ModelLayers {
		return &LayerRangeError{Range: r}
	}
	return nil
}

// String formats the range as "[from,to) of n".
func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d) of %d", r.From, r.To, r.ModelLayers)
}
