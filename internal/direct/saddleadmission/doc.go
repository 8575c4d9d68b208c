// Package saddleadmission decides which waiting stream begins next, which is refused, and when
// the caller of a refused one may return. It serves pools whose routes differ in priority. It
// knows neither the network nor the engines: the room is an argument.
package saddleadmission
