// Package saddleannounce is the interface by which targets announce
// themselves: JSON over HTTP to the agent in their slot.
package saddleannounce
