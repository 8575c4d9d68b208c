package main

import (
	"bytes"
	"encoding/json"
	"os"
)

// roleChange is a line of a control process's log.
type roleChange struct {
	Message string `json:"message"`
	Role    string `json:"role"`
	Term    int    `json:"term"`
}

// leader returns the machine whose control process became leader last, by their logs.
func (c *cluster) leader() *vm {
	var out *vm
	latest := 0
	for _, v := range c.vms {
		if v.diskless {
			continue
		}
		text, err := os.ReadFile(v.control.log)
		if err != nil {
			continue
		}
		for line := range bytes.Lines(text) {
			var l roleChange // the last of two fields named role is decoded, that of the replica
			if err := json.Unmarshal(line, &l); err != nil || l.Message != "control role changed" {
				continue
			}
			if l.Role == "leader" && l.Term > latest {
				out, latest = v, l.Term
			}
		}
	}
	return out
}
