package fireflysaddle

import "time"

// Notice is what a target says about itself in an answer, beside the answer to the request.
type Notice struct {
	Leaving      bool          // it is leaving and accepts no new requests
	Pause        time.Duration // how long it wants no further requests; 0: not stated
	InvalidPause string        // statement of a pause that cannot be read, empty: none
	Limited      bool          // it states a limit
	Limit        RequestRate   // requests that it accepts from all VMs together for as long as it states so
	InvalidLimit string        // statement of a limit that cannot be read, empty: none
}
