package saddlecontrol

import "hash/fnv"

// isFirstSource reports whether a replica is the one of a group that sends its snapshot to an
// entry first: the one with the highest hash together with the entry's name. If replicas join
// or leave, only the entries of these get another.
func isFirstSource(replica, entry string, replicas []string) bool {
	rank := func(r string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(r + "/" + entry)) // never fails
		return mix(h.Sum64())
	}
	for _, r := range replicas {
		if r != replica && rank(r) > rank(replica) {
			return false
		}
	}
	return true
}

// mix spreads a hash over all bits: names that differ only in their last characters have FNV
// hashes that differ little in the high bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
