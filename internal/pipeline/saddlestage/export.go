package saddlestage

// export is the KV cache of the next stage, from which a replacement of that
// stage can start.
type export struct {
	positions  uint32 // number of positions in the cache; 0 means no export
	cache      []byte
	lastOutput stepOutput // output of the last step before the export
}

func (e export) size() int64 { return int64(len(e.cache)) + e.lastOutput.size() }
