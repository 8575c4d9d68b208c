package fireflysaddle

// Framing is how the end of a body is marked on its connection.
type Framing int

// The kinds of framing.
const (
	FramingChunks Framing = iota // a last chunk
	FramingLength                // a length in the header
	FramingClose                 // the end of the connection, as in HTTP/1.0
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case FramingChunks:
		return "chunks"
	case FramingLength:
		return "length"
	case FramingClose:
		return "close"
	}
	return "unknown"
}
