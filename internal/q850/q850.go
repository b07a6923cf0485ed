// Package q850 is the one table between the core's reasons and the cause values of ITU-T Q.850, which
// both fronts carry.
package q850

import (
	"elmseam"
	"elmseam/internal/core"
)

// The cause values in use.
const (
	UserBusy            = 17
	NormalClearing      = 16
	NoCircuit           = 34
	TemporaryFailure    = 41
	Congestion          = 42
	ResourceUnavailable = 47
	InvalidContents     = 100
	TimerExpiry         = 102
)

// CauseFromReason is the cause that a caller is told.
func CauseFromReason(r core.Reason) byte {
	switch r {
	case core.Normal:
		return NormalClearing
	case core.Congested, core.Full, core.Unsent:
		return Congestion
	case core.Busy:
		return UserBusy
	case core.Unsupported:
		return InvalidContents
	}
	return TemporaryFailure
}

// ReasonFromCause is what a server's cause says.
func ReasonFromCause(cause int) core.Reason {
	switch cause {
	case NormalClearing:
		return core.Normal
	case NoCircuit, Congestion:
		return core.Full
	case UserBusy, ResourceUnavailable:
		return core.Busy
	case TimerExpiry:
		return core.Unsent
	}
	return core.Reset
}

// RefusalFromNote is what a cause says beside that on the platform, where a note goes with it.
func RefusalFromNote(note string) elmseam.Refusal {
	switch note {
	case "swamped":
		return elmseam.RefusalProcessor
	case "occupied":
		return elmseam.RefusalNumber
	}
	return elmseam.RefusalOther
}

// RefusalFromCause is the same in signalling that has causes only.
func RefusalFromCause(cause int) elmseam.Refusal {
	switch cause {
	case Congestion:
		return elmseam.RefusalProcessor
	case UserBusy:
		return elmseam.RefusalNumber
	}
	return elmseam.RefusalOther
}
