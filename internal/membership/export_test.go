package membership

import "encoding/binary"

// Seal gives a datagram, whose last four bytes don't matter, the checksum that it should have.
func Seal(data []byte) []byte {
	if len(data) < sumSize {
		return data
	}
	body := data[:len(data)-sumSize]
	return binary.BigEndian.AppendUint32(append([]byte(nil), body...), sum(body))
}
