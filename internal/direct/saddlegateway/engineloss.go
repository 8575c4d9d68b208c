package saddlegateway

// engineLoss is how sure it is that an engine is lost.
type engineLoss int

const (
	lossSuspected engineLoss = iota // it is silent or late, which may be this entry's fault
	lossConfirmed                   // the head waits for it in vain, or it has failed several times in succession
	lossCertain                     // it refuses connections or has restarted
)
