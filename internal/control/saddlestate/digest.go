package saddlestate

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// digest returns a hash of a change of a template, deployment, drain or
// placement, or nil for any other command. The hash is identical on all replicas
// and in all versions of the program. It covers the base revision of placements
// only: for the other objects, a resend may carry a newer base revision and still
// ask for the same change.
func digest(c *saddlewire.Command) []byte {
	d := digester{hash: sha256.New()}
	switch change := c.GetChange().(type) {
	case *saddlewire.Command_PutTemplate:
		put := change.PutTemplate
		d.writeStrings("template", put.GetName(), put.GetBody())
	case *saddlewire.Command_PutDeployment:
		put := change.PutDeployment
		d.writeStrings("deployment", put.GetWorkspace(), put.GetTemplate())
		for _, name := range slices.Sorted(maps.Keys(put.GetParameters())) {
			d.writeStrings(name, put.GetParameters()[name])
		}
	case *saddlewire.Command_PutDrain:
		put := change.PutDrain
		d.writeStrings("drain", put.GetTarget())
		if put.GetActive() {
			d.writeUint64(1)
		}
	case *saddlewire.Command_PutPlacement:
		put := change.PutPlacement
		d.writeStrings("placement", put.GetTarget(), put.GetGroup(), put.GetVersion(), put.GetRole())
		d.writeStrings(put.GetAdapters()...)
		d.writeUint64(put.GetBase())
	default:
		return nil
	}
	return d.hash.Sum(nil)
}

// digester prefixes each string with its length, so that different lists of
// strings never give the same hash input.
type digester struct {
	hash hash.Hash
}

func (d digester) writeStrings(values ...string) {
	for _, v := range values {
		d.writeUint64(uint64(len(v)))
		_, _ = d.hash.Write([]byte(v))
	}
}

func (d digester) writeUint64(n uint64) {
	_, _ = d.hash.Write(binary.BigEndian.AppendUint64(nil, n))
}
