package saddleroute

// loadShare estimates which fraction of the load of all targets this entry causes.
// The estimate is based on the targets' load reports.
type loadShare struct {
	own      float64 // decaying sum of this entry's requests in flight at the reporting targets
	reported float64 // decaying sum of the requests in the load reports
}

const (
	shareDecay = 0.99 // factor applied to the sums at each report
	minShare   = 0.02 // lower bound of the estimate
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
