package saddlegateway

import (
	"math"
	"time"
)

const (
	// shortestDuration is the upper end of the first bucket of a durationHistogram. What is
	// recorded may be a millionth of the duration of a stream.
	shortestDuration = 10 * time.Nanosecond
	// bucketGrowth is the ratio of the upper ends of neighbouring buckets: a quantile is at
	// most a tenth too long.
	bucketGrowth = 1.1
	// durationBuckets cover durations up to a quarter of an hour.
	durationBuckets = 266
	// durationMemory is the number of durations after which the weight of one has fallen to
	// 1/e. The duration of calls changes with the load.
	durationMemory = 2000
	// maxWeightRatio is the ratio of the weights of two durations above which the smaller one
	// counts as 0. It keeps all weights in the range of a float64.
	maxWeightRatio = 1e9
)

// durationHistogram holds how long calls took. Later durations weigh more.
type durationHistogram struct {
	weights [durationBuckets]float64
	total   float64
	last    float64 // weight of the last duration, 0 if none was recorded
}

// record adds a duration. If it is not exact, the call ended early, and its whole duration is
// longer: its weight is spread over the longer durations as these are distributed.
func (h *durationHistogram) record(d time.Duration, exact bool) {
	if h.last > maxWeightRatio {
		h.rescale()
	}
	weight := max(1, h.last/(1-1.0/durationMemory))
	first := bucketOf(d)
	longer := 0.0
	if !exact {
		for _, w := range h.weights[first+1:] {
			longer += w
		}
	}
	switch {
	case exact:
		h.weights[first] += weight
	case longer > 0:
		for i := first + 1; i < durationBuckets; i++ {
			h.weights[i] *= 1 + weight/longer
		}
	default:
		h.weights[min(first+1, durationBuckets-1)] += weight
	}
	h.total += weight
	h.last = weight
}

// rescale divides all weights by the last one.
func (h *durationHistogram) rescale() {
	h.total = 0
	for i, w := range h.weights {
		if w *= 1 / h.last; w < 1/maxWeightRatio {
			w = 0
		}
		h.weights[i] = w
		h.total += w
	}
	h.last = 1
}

// quantile returns the duration that a share of all durations does not exceed, 0 if none was
// recorded.
func (h *durationHistogram) quantile(share float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	sum := 0.0
	for i, w := range h.weights {
		if sum += w; sum >= share*h.total {
			return bucketEnd(i)
		}
	}
	return bucketEnd(durationBuckets - 1)
}

// bucketOf returns the index of the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= shortestDuration {
		return 0
	}
	return min(durationBuckets-1, int(math.Ceil(math.Log(float64(d)/float64(shortestDuration))/math.Log(bucketGrowth))))
}

// bucketEnd returns the longest duration of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortestDuration) * math.Pow(bucketGrowth, float64(i)))
}
