// Package leak runs the tests of a package and fails them if they leave a goroutine or a descriptor behind. Only tests use it.
package leak

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests, and ends the process.
func Main(m *testing.M) {
	before := OpenDescriptors()
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Println(err)
		code = 1
	}
	if after := OpenDescriptors(); after > before && code == 0 {
		fmt.Printf("%d descriptors before the tests, %d after\n", before, after)
		code = 1
	}
	os.Exit(code)
}

// OpenDescriptors is how many are open, but for the poller's own.
func OpenDescriptors() (count int) {
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range entries {
		if target, err := os.Readlink("/proc/self/fd/" + entry.Name()); err == nil && !strings.HasPrefix(target, "anon_") {
			count++
		}
	}
	return count
}
