// Package saddlebaseline implements simple choosers and a FIFO queue, as baselines
// for comparison with saddlechoice and saddlequeue. The choosers implement
// fireflysaddle.Chooser.
package saddlebaseline
