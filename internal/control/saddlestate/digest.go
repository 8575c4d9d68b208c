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
// placement, identical on all replicas and in all versions of the program, or
// nil for any other command. Except for placements it excludes the base
// revision: a resend may have read a newer one and still asks for the same
// change.
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

// digester hashes each string after its length, so that different lists of
// strings give different input.
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
