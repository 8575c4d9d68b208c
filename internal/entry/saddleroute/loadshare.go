package saddleroute

// loadShare estimates from load reports which fraction of the load of all
// targets this entry causes.
type loadShare struct {
	own      float64 // moving sum of this entry's requests in flight
	reported float64 // moving sum of the reported requests
}

const (
	shareDecay = 0.99 // factor applied to the sums at each report
	minShare   = 0.02
)

func (s *loadShare) record(own int, reported uint32) {
	s.own = s.own*shareDecay + float64(own)
	s.reported = s.reported*shareDecay + float64(reported)
}

// value returns the fraction, from minShare to 1.
func (s *loadShare) value() float64 {
	if s.reported <= s.own {
		return 1
	}
	return max(s.own/s.reported, minShare)
}
