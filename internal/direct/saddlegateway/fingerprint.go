package saddlegateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// fingerprintBytes is the size of a fingerprint, which callers must not be able to forge for
// another request.
const fingerprintBytes = 16

// fingerprint identifies the call and all identical ones: those of the same workspace with the
// same method, host, path, query and body. It does not reveal them.
func (j *job) fingerprint() string {
	if j.cachedFingerprint != "" {
		return j.cachedFingerprint
	}
	h := sha256.New()
	for _, field := range []string{string(j.workspace), j.call.Method, j.call.Host, j.call.URI} {
		_, _ = h.Write([]byte(strconv.Itoa(len(field)) + ":" + field)) // a hash returns no errors
	}
	_, _ = h.Write(j.call.Body)
	j.cachedFingerprint = hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	return j.cachedFingerprint
}
