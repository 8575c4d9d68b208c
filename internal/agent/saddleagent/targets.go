package saddleagent

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleservice"
)

// Adapters makes the adapters to announced targets, with their clean-up.
type Adapters interface {
	Engine(id fireflysaddle.TargetID, address string) (fireflysaddle.Engine, func())
	Service(id fireflysaddle.TargetID, address string) (fireflysaddle.Service, func())
}

// httpTargets reaches targets over HTTP.
type httpTargets struct{}

func (httpTargets) Engine(id fireflysaddle.TargetID, address string) (fireflysaddle.Engine, func()) {
	return saddleengine.New(id, address)
}

func (httpTargets) Service(id fireflysaddle.TargetID, address string) (fireflysaddle.Service, func()) {
	return saddleservice.New(id, address)
}
