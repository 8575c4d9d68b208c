// Package saddleannounce defines the interface by which targets announce
// themselves to their local agent: JSON over HTTP.
package saddleannounce
