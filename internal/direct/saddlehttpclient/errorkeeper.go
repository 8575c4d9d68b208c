package saddlehttpclient

import "io"

// errorKeeper keeps the error of a writer, which http.Request.Write returns in one that does not
// unwrap.
type errorKeeper struct {
	writer io.Writer
	err    error
}

// Write implements io.Writer.
func (k *errorKeeper) Write(p []byte) (int, error) {
	n, err := k.writer.Write(p)
	if err != nil {
		k.err = err
	}
	return n, err
}
