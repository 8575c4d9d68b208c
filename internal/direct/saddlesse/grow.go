package saddlesse

// SetGrow sets a function that is called with the number of bytes by which the longest event is
// about to grow. Next returns its error. It must be called before Next.
func (r *Reader) SetGrow(grow func(n int) error) { r.grow = grow }

// growFor calls grow if n further bytes make the event the longest one so far.
func (r *Reader) growFor(n int) error {
	growth := len(r.raw) + n - r.grown
	if r.grow == nil || growth <= 0 {
		return nil
	}
	if err := r.grow(growth); err != nil {
		return err
	}
	r.grown += growth
	return nil
}
