package saddlestore

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	lengthAt       = 4  // payload length, four bytes
	syncedAt       = 8  // bytes of the file synced before, eight bytes
	sumAt          = 16 // checksum of all else, four bytes
	headerBytes    = 20
	maxRecordBytes = 1 << 30
)

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	recordMagic = []byte{0xf1, 0xef, 0x5d, 0x1e} // begins each record
)

// encodeRecord puts a header before the payload. synced is how many bytes of
// the file are known to be durable.
func encodeRecord(payload []byte, synced int64) []byte {
	buf := make([]byte, headerBytes, headerBytes+len(payload))
	copy(buf, recordMagic)
	binary.LittleEndian.PutUint32(buf[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(buf[syncedAt:], uint64(synced))
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[sumAt:], checksum(buf))
	return buf
}

func checksum(record []byte) uint32 {
	sum := crc32.Checksum(record[:sumAt], castagnoli)
	return crc32.Update(sum, castagnoli, record[headerBytes:])
}

// decodeRecord reads the record at the start of data; ok is false when there
// is no sound one.
func decodeRecord(data []byte) (payload []byte, synced int64, ok bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, recordMagic) {
		return nil, 0, false
	}
	length := int64(binary.LittleEndian.Uint32(data[lengthAt:]))
	if length > maxRecordBytes || headerBytes+length > int64(len(data)) {
		return nil, 0, false
	}
	record := data[:headerBytes+length]
	if checksum(record) != binary.LittleEndian.Uint32(data[sumAt:]) {
		return nil, 0, false
	}
	return record[headerBytes:], int64(binary.LittleEndian.Uint64(data[syncedAt:])), true
}

// decodeRecords splits a file into payloads and returns the length of the
// sound part. What follows it is left out if last is set and no later record
// says that it was synced; otherwise it is a *DamageError.
func decodeRecords(name string, data []byte, last bool) (payloads [][]byte, sound int64, err error) {
	for sound < int64(len(data)) {
		payload, _, ok := decodeRecord(data[sound:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		sound += headerBytes + int64(len(payload))
	}
	if sound == int64(len(data)) {
		return payloads, sound, nil
	}
	if !last {
		return nil, 0, &DamageError{File: name, Offset: sound, Reason: "no sound record in a segment that was closed"}
	}
	if syncedPast(data, sound) {
		return nil, 0, &DamageError{File: name, Offset: sound, Reason: "no sound record, and later ones were written after it was synced"}
	}
	return payloads, sound, nil
}

// syncedPast reports whether a record after an offset says that the file was
// synced beyond the offset.
func syncedPast(data []byte, offset int64) bool {
	for at := offset + 1; at < int64(len(data)); at++ {
		next := bytes.Index(data[at:], recordMagic)
		if next < 0 {
			return false
		}
		at += int64(next)
		if _, synced, ok := decodeRecord(data[at:]); ok && synced > offset {
			return true
		}
	}
	return false
}
