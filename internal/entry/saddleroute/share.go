package saddleroute

// share estimates this entry's part in the load of all targets from their
// reports.
type share struct {
	own      float64 // moving sum of this entry's requests in flight
	reported float64 // moving sum of the reported requests
}

const (
	shareMemory = 0.99 // what is left of the sums at each further report
	minShare    = 0.02
)

func (s *share) note(own int, reported uint32) {
	s.own = s.own*shareMemory + float64(own)
	s.reported = s.reported*shareMemory + float64(reported)
}

// value returns the share, from minShare to 1.
func (s *share) value() float64 {
	if s.reported <= s.own {
		return 1
	}
	return max(s.own/s.reported, minShare)
}
