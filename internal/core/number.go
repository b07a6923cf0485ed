package core

import "github.com/zeebo/xxh3"

// NumberValue returns the value by which the controller compares called numbers, which is the same for all protocols: 0 for an empty number,
// and a hash of any other.
func NumberValue(number string) uint64 {
	if number == "" {
		return 0
	}
	return max(xxh3.HashString(number), 1)
}
