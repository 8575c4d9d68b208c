package saddlestage

// room is what is left of the bytes that an agent keeps for recovery. The
// table's lock guards it.
type room struct {
	left int64
}

// take reports whether there was room.
func (r *room) take(n int64) bool {
	if r.left < n {
		return false
	}
	r.left -= n
	return true
}

func (r *room) give(n int64) { r.left += n }
