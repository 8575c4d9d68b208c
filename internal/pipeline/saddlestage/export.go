package saddlestage

// export is the KV cache of the next stage, from which a replacement starts.
type export struct {
	positions uint32 // 0: there is none
	cache     []byte
	last      outcome // what the stage handed on before the export
}

func (e export) size() int64 { return int64(len(e.cache)) + e.last.size() }
