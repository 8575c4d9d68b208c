package saddlestore

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	headerBytes    = 8        // length and checksum, four bytes each
	maxRecordBytes = 64 << 20 // larger lengths are damage
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord puts length and checksum before the payload.
func encodeRecord(payload []byte) []byte {
	buf := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(buf[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(payload, castagnoli))
	return append(buf, payload...)
}

// decodeRecords splits a file into payloads. It returns the length of the
// sound part; a record cut off at the end is left out.
func decodeRecords(name string, data []byte) (payloads [][]byte, sound int64, err error) {
	var at int64
	size := int64(len(data))
	for size-at >= headerBytes {
		length := int64(binary.LittleEndian.Uint32(data[at:]))
		sum := binary.LittleEndian.Uint32(data[at+4:])
		end := at + headerBytes + length
		if length > maxRecordBytes {
			return nil, 0, &DamageError{File: name, Offset: at, Reason: "impossible length"}
		}
		if end > size {
			break
		}
		payload := data[at+headerBytes : end]
		if crc32.Checksum(payload, castagnoli) != sum {
			if end == size {
				break
			}
			return nil, 0, &DamageError{File: name, Offset: at, Reason: "checksum does not match"}
		}
		payloads = append(payloads, payload)
		at = end
	}
	return payloads, at, nil
}
