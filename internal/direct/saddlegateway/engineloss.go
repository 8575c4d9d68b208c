package saddlegateway

// engineLoss is how sure it is that an engine is lost.
type engineLoss int

const (
	lossSuspected engineLoss = iota // it is silent or late, which may be this entry's fault
	lossConfirmed                   // the head waits for it in vain
	lossCertain                     // it refuses connections or has restarted
)

// String returns the name that logs use.
func (l engineLoss) String() string {
	switch l {
	case lossConfirmed:
		return "confirmed"
	case lossCertain:
		return "certain"
	case lossSuspected:
	}
	return "suspected"
}
