package saddleadmin

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	bearerPrefix    = "Bearer "
	maxTokenBytes   = 512      // a longer bearer token is rejected
	maxKeyFileBytes = 64 << 10 // the rest of a larger file is ignored
)

// Keys holds the SHA-256 hashes of the keys that an admin listener accepts. A
// nil Keys accepts every caller.
type Keys struct {
	hashes [][sha256.Size]byte
}

// LoadKeys reads a key file, which has a hex SHA-256 hash on each line; the rest
// of a line after "#" is a comment. An empty file name returns nil.
func LoadKeys(file string) (*Keys, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "open key file")
	}
	defer func() { _ = f.Close() }()
	keys, err := ParseKeys(f)
	if err != nil {
		return nil, eris.Wrapf(err, "key file %s", file)
	}
	return keys, nil
}

// ParseKeys parses the text of a key file. A file without a hash is an error,
// because it would refuse every caller.
func ParseKeys(r io.Reader) (*Keys, error) {
	keys := &Keys{}
	lines := bufio.NewScanner(io.LimitReader(r, maxKeyFileBytes))
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != sha256.Size {
			return nil, fmt.Errorf("line %d is not the hex SHA-256 of a key", n)
		}
		keys.hashes = append(keys.hashes, [sha256.Size]byte(b))
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(keys.hashes) == 0 {
		return nil, eris.New("no key hash found")
	}
	return keys, nil
}

// Allow reports whether an Authorization header contains one of the keys. All
// hashes are compared in constant time, so the duration does not depend on the
// key in the header.
func (k *Keys) Allow(header string) bool {
	if k == nil {
		return true
	}
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || len(token) > maxTokenBytes {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	found := 0
	for _, h := range k.hashes {
		found |= subtle.ConstantTimeCompare(sum[:], h[:])
	}
	return found == 1
}
