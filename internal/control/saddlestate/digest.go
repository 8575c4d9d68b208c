package saddlestate

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// digest returns a hash of a change of configuration, the same on all replicas
// and versions, or nil for any other command. The base revision is left out: a
// resend may have read a newer one and still asks for the same change.
func digest(c *saddlewire.Command) []byte {
	d := digester{hash: sha256.New()}
	switch change := c.GetChange().(type) {
	case *saddlewire.Command_PutTemplate:
		put := change.PutTemplate
		d.text("template", put.GetName(), put.GetBody())
	case *saddlewire.Command_PutDeployment:
		put := change.PutDeployment
		d.text("deployment", put.GetWorkspace(), put.GetTemplate())
		for _, name := range slices.Sorted(maps.Keys(put.GetParameters())) {
			d.text(name, put.GetParameters()[name])
		}
	case *saddlewire.Command_PutDrain:
		put := change.PutDrain
		d.text("drain", put.GetTarget())
		if put.GetActive() {
			d.number(1)
		}
	case *saddlewire.Command_PutPlacement:
		put := change.PutPlacement
		d.text("placement", put.GetTarget(), put.GetGroup(), put.GetVersion(), put.GetRole())
		d.text(put.GetAdapters()...)
		d.number(put.GetBase())
	default:
		return nil
	}
	return d.hash.Sum(nil)
}

// digester hashes values with their lengths, so that no two lists of values
// look the same.
type digester struct {
	hash hash.Hash
}

func (d digester) text(values ...string) {
	for _, v := range values {
		d.number(uint64(len(v)))
		_, _ = d.hash.Write([]byte(v))
	}
}

func (d digester) number(n uint64) {
	_, _ = d.hash.Write(binary.BigEndian.AppendUint64(nil, n))
}
