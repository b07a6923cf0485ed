// Package q850 maps the core's end reasons to the cause values of ITU-T Q.850 and back, and tells the kind of a
// refusal. Both signalling protocols carry these cause values.
package q850

import (
	"elmseam"
	"elmseam/internal/core"
)

// Cause values of ITU-T Q.850 that the protocols use.
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

// CauseFromReason returns the cause value that is sent to a caller for an end reason. A reason without an entry gives
// TemporaryFailure.
func CauseFromReason(reason core.Reason) byte {
	switch reason {
	case core.ReasonNormal:
		return NormalClearing
	case core.ReasonCongested, core.ReasonFull, core.ReasonUnsent:
		return Congestion
	case core.ReasonBusy:
		return UserBusy
	case core.ReasonUnsupported:
		return InvalidContents
	}
	return TemporaryFailure
}

// ReasonFromCause returns the end reason for a cause value received from a server. A cause value without an entry
// gives core.ReasonReset.
func ReasonFromCause(cause int) core.Reason {
	switch cause {
	case NormalClearing:
		return core.ReasonNormal
	case NoCircuit, Congestion:
		return core.ReasonFull
	case UserBusy, ResourceUnavailable:
		return core.ReasonBusy
	case TimerExpiry:
		return core.ReasonUnsent
	}
	return core.ReasonReset
}

// RefusalFromNote returns the kind of refusal that a platform server names in the note beside its cause value.
func RefusalFromNote(note string) elmseam.Refusal {
	switch note {
	case "swamped":
		return elmseam.RefusalProcessor
	case "occupied":
		return elmseam.RefusalNumber
	}
	return elmseam.RefusalOther
}

// RefusalFromCause returns the kind of refusal for a cause value, in signalling that carries no note.
func RefusalFromCause(cause int) elmseam.Refusal {
	switch cause {
	case Congestion:
		return elmseam.RefusalProcessor
	case UserBusy:
		return elmseam.RefusalNumber
	}
	return elmseam.RefusalOther
}
