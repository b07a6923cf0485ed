package main

import (
	"math/bits"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuMask is a set of processors, in the form of sched_setaffinity(2).
type cpuMask [16]uint64

// affinity calls sched_getaffinity(2) or sched_setaffinity(2) for the present thread.
func affinity(number uintptr, mask *cpuMask) error {
	if _, _, errno := syscall.RawSyscall(number, 0, unsafe.Sizeof(*mask), uintptr(unsafe.Pointer(mask))); errno != 0 {
		return errno
	}
	return nil
}

// onOneCore calls start, such that the process that it starts has one core, as each softswitch has on the platform (DEPLOY-elmseam.md).
func onOneCore(start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuMask
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	for i, word := range all {
		if word != 0 {
			one[i] = 1 << (63 - bits.LeadingZeros64(word))
			break
		}
	}
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	defer affinity(syscall.SYS_SCHED_SETAFFINITY, &all)
	return start()
}
