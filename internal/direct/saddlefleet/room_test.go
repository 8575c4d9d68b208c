package saddlefleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Load of this entry and of others takes room.
func TestRoomIsWhatAllEntriesLeave(t *testing.T) {
	is := is.New(t)
	pool, f := fastAndSlow()
	before := f.fleet.Room(start, pool)
	is.Equal(before.Free, before.Capacity)
	_, done, _, ok := f.fleet.PickChain(start, pool, 1000, nil)
	is.True(ok)
	f.update(&saddlewire.Update{PeerDrafts: []*saddlewire.SectionLoad{{Group: "drafts", Centre: "a", Tokens: 2000}}})
	room := f.fleet.Room(start, pool)
	is.Equal(room.Reserved, 1000.0)
	is.Equal(before.Free-room.Free, 3000.0)
	done()
	is.Equal(f.fleet.Room(start, pool).Reserved, 0.0)
}

// Failure: an engine without which a layer is missing is lost.
func TestNoRoomWithoutAllLayers(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2))
	pool, _ := fastAndSlow()
	is.Equal(f.fleet.Room(start, pool).Capacity, 0.0)
}
