package saddlesettings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// digestBytes is the number of bytes of a digest. It tells settings apart that operators
// wrote; it is no protection against forgery.
const digestBytes = 6

// Digest identifies the settings without what differs between the processes of one role:
// the name, the data centre, the data folder and the addresses of the listeners. Processes
// whose digests are equal use equal settings, wherever they run.
func (s Gateway) Digest() string {
	s.Common = s.withoutIdentity()
	s.Listen = ""
	return digest(s)
}

// Digest is like Gateway.Digest.
func (s Entry) Digest() string {
	s.Common = s.withoutIdentity()
	s.Listen = ""
	return digest(s)
}

// Digest is like Gateway.Digest.
func (s Agent) Digest() string {
	s.Common = s.withoutIdentity()
	s.Listen, s.Advertise, s.Announce = "", "", ""
	return digest(s)
}

// Digest is like Gateway.Digest. Whether the process may start a new group is left out as
// well, because it holds for one start only.
func (s Control) Digest() string {
	s.Common = s.withoutIdentity()
	s.Listen, s.DataDir, s.API = "", "", ""
	s.Group.Bootstrap = false
	return digest(s)
}

func (s Common) withoutIdentity() Common {
	s.Node, s.Centre, s.Admin = "", "", ""
	return s
}

func digest(settings any) string {
	text, err := json.Marshal(settings)
	if err != nil {
		panic(fmt.Sprintf("settings of type %T cannot be encoded: %v", settings, err)) // they hold only numbers, texts and lists
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}
