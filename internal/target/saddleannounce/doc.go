// Package saddleannounce is the interface with which targets announce
// themselves to their local agent: JSON over HTTP.
package saddleannounce
