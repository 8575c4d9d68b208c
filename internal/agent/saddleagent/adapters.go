package saddleagent

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleservice"
)

// Adapters creates the adapters to announced targets. The second result
// of each method releases the adapter's resources.
type Adapters interface {
	Engine(id fireflysaddle.TargetID, address string) (fireflysaddle.Engine, func())
	Service(id fireflysaddle.TargetID, address string) (fireflysaddle.Service, func())
}

// httpAdapters creates adapters that call targets over HTTP.
type httpAdapters struct{}

func (httpAdapters) Engine(id fireflysaddle.TargetID, address string) (fireflysaddle.Engine, func()) {
	return saddleengine.New(id, address)
}

func (httpAdapters) Service(id fireflysaddle.TargetID, address string) (fireflysaddle.Service, func()) {
	return saddleservice.New(id, address)
}
