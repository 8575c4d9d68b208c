package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Status is what the head of a chain knows of one of its stages while a
// request runs. Positions are counts: a stage that ran n positions ran those
// from 0 to n-1.
type Status struct {
	Stage    Stage
	Lost     bool                   // it cannot go on with the attempt
	Done     fireflysaddle.Position // positions that it ran
	Accepted fireflysaddle.Position // positions that it ran or will run
	Kept     fireflysaddle.Position // first position whose outcome it can send again
	Export   fireflysaddle.Position // positions of the next stage's cache that it holds
}
