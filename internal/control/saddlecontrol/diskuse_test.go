package saddlecontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	diskBytes          = 64 << 20 / 3 // a third of the smallest disk that replicas have
	largeRoutingBytes  = 200 << 10    // as packed, of some 10,000 routes
	largeRoutings      = 400          // several times as much as fits on the disk
	productionSnapshot = 4096         // the default of snapshot_every
)

// Changes of large configurations do not fill the disk for good, whatever their number: the log
// is compacted by its size, too, not only by its number of entries.
func TestLargeConfigurationsDoNotFillTheDisk(t *testing.T) {
	is := is.New(t)
	disk := saddledisk.New()
	disk.SetCapacity(diskBytes)
	cfg := config(t)
	cfg.Files = disk
	cfg.SnapshotEvery = productionSnapshot
	s, _ := runServer(t, cfg)
	client, closeClient := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = closeClient() }()
	_, err := client.Submit(waitContext(t), putTemplate("first", 0)) // waits for the leader
	is.NoErr(err)
	content := make([]byte, largeRoutingBytes)
	rng := rand.NewChaCha8([32]byte{})
	for version := range uint64(largeRoutings) {
		_, err = rng.Read(content)
		is.NoErr(err)
		result, err := s.Commit(waitContext(t), &saddlewire.Command{
			Change: &saddlewire.Command_PutRouting{PutRouting: &saddlewire.PutRouting{Version: version + 1, Content: content}},
		})
		if err != nil {
			t.Fatal(fmt.Errorf("change %d of %d: %w", version+1, largeRoutings, err))
		}
		is.Equal(result.GetRevision(), version+1)
	}
}
