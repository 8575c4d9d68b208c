package saddlestore

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A record is a header followed by a payload. The header consists of the magic
// bytes and the fields at these offsets, in little-endian order.
const (
	lengthOffset    = 4       // four bytes: length of the payload
	syncedOffset    = 8       // eight bytes: number of bytes of the file that were synced when the record was written
	checksumOffset  = 16      // four bytes: CRC-32C of the rest of the record
	headerBytes     = 20      // length of the header
	maxPayloadBytes = 1 << 30 // a record with a longer payload is invalid
)

var (
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	recordMagic = []byte{0xf1, 0xef, 0x5d, 0x1e} // first four bytes of each record
)

// encodeRecord prepends a header to the payload. synced is the number of bytes of
// the file that are known to be durable.
func encodeRecord(payload []byte, synced int64) []byte {
	buf := make([]byte, headerBytes, headerBytes+len(payload))
	copy(buf, recordMagic)
	binary.LittleEndian.PutUint32(buf[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(buf[syncedOffset:], uint64(synced))
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[checksumOffset:], checksum(buf))
	return buf
}

func checksum(record []byte) uint32 {
	crc := crc32.Checksum(record[:checksumOffset], castagnoli)
	return crc32.Update(crc, castagnoli, record[headerBytes:])
}

// decodeRecord reads the record at the start of data and returns its payload and the
// synced length in its header. ok is false if the record is not valid.
func decodeRecord(data []byte) (payload []byte, synced int64, ok bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, recordMagic) {
		return nil, 0, false
	}
	length := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if length > maxPayloadBytes || headerBytes+length > int64(len(data)) {
		return nil, 0, false
	}
	record := data[:headerBytes+length]
	if checksum(record) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return nil, 0, false
	}
	return record[headerBytes:], int64(binary.LittleEndian.Uint64(data[syncedOffset:])), true
}

// decodeRecords splits a file into payloads and returns the length of the valid
// part. last is set for the last segment, the only file that may end with a torn
// write. If last is set and no later record shows that the bytes after the valid part
// were synced, they are ignored as a torn write. Otherwise the error is a
// *CorruptionError.
func decodeRecords(name string, data []byte, last bool) (payloads [][]byte, validBytes int64, err error) {
	for validBytes < int64(len(data)) {
		payload, _, ok := decodeRecord(data[validBytes:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		validBytes += headerBytes + int64(len(payload))
	}
	if validBytes == int64(len(data)) {
		return payloads, validBytes, nil
	}
	if !last {
		return nil, 0, &CorruptionError{File: name, Offset: validBytes, Reason: "invalid record in a file that was completely synced"}
	}
	if syncedPast(data, validBytes) {
		return nil, 0, &CorruptionError{File: name, Offset: validBytes, Reason: "invalid record, although a later record shows that it was synced"}
	}
	return payloads, validBytes, nil
}

// syncedPast reports whether a record after an offset shows that the file was
// synced beyond the offset. It searches for the magic bytes, because the length
// of the invalid record at the offset cannot be trusted.
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
