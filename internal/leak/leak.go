// Package leak runs the tests of a package and fails the run if the tests leave a goroutine or a file descriptor behind. Only
// tests import it.
package leak

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests of m and exits the process. The exit status is 1 if the tests passed but left a goroutine or a file
// descriptor behind. A package calls Main from its TestMain.
func Main(m *testing.M) {
	before := OpenDescriptors()
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Println(err)
		code = 1
	}
	if after := OpenDescriptors(); after > before && code == 0 {
		fmt.Printf("%d descriptors before the tests, %d after: %s\n", before, after, strings.Join(descriptorTargets(), ", "))
		code = 1
	}
	os.Exit(code)
}

// OpenDescriptors returns the number of open file descriptors of this process, without the anonymous ones (epoll, eventfd)
// that the Go runtime's poller opens.
func OpenDescriptors() int { return len(descriptorTargets()) }

// descriptorTargets returns what the descriptors that OpenDescriptors counts refer to.
func descriptorTargets() (targets []string) {
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range entries {
		target, err := os.Readlink("/proc/self/fd/" + entry.Name())
		if err == nil && !strings.HasPrefix(target, "anon_") {
			targets = append(targets, target)
		}
	}
	return targets
}
