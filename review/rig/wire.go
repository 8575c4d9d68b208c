package main

import (
	"bytes"
	_ "embed" // for the table of names
	"encoding/json"
	"strings"
)

// wireTable lists names of this program with those of the platform, which code outside the
// adapter does not use: headers, and fields of JSON bodies.
//
//go:embed wire.txt
var wireTable string

var wireNames = parseWireTable(wireTable)

func parseWireTable(text string) map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(text) {
		if own, wire, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			out[own] = wire
		}
	}
	return out
}

// header returns the platform's name of a header.
func header(name string) string { return wireNames["header-"+name] }

// encodeBody encodes a body with the platform's names of its fields.
func encodeBody(v any) []byte {
	text, _ := json.Marshal(v) // cannot fail: the bodies are plain values
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var body any
	_ = d.Decode(&body) // as above
	text, _ = json.Marshal(rename(body))
	return text
}

// rename replaces the names of fields.
func rename(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = rename(v[i])
		}
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, value := range v {
			if wire, ok := wireNames[name]; ok {
				name = wire
			}
			out[name] = rename(value)
		}
		return out
	}
	return v
}
