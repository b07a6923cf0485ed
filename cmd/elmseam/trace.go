package main

import (
	"fmt"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
)

// logTrace writes a trace of the core to the log.
func logTrace(log *zerolog.Logger, trace core.Trace) {
	line := log.Info()
	if trace.Server != "" {
		line.Str("server", trace.Server)
	}
	if trace.ID != 0 {
		line.Str("call", fmt.Sprintf("%016x", uint64(trace.ID)))
	}
	switch trace.Kind {
	case core.TraceOutageBegan:
		line.Dur("silent_ms", trace.SilentFor).Int("calls", trace.Calls).Msg("outage of server begins")
	case core.TraceServerReachable:
		line.Dur("silent_ms", trace.SilentFor).Int("calls", trace.Calls).Msg("server is reachable again, its calls are in doubt")
	case core.TraceServerRecovered:
		line.Dur("silent_ms", trace.SilentFor).Int("calls", trace.Calls).Msg("outage of server is over")
	case core.TraceServerLost:
		line.Dur("silent_ms", trace.SilentFor).Int("calls", trace.Calls).Msg("server lost, its calls are released")
	case core.TraceConnReplaced:
		line.Uint64("conn", uint64(trace.Conn)).Msg("silent connection to server replaced")
	case core.TraceAttemptFailed:
		line.Int("attempt", trace.Attempt).Str("cause", causeNames[trace.Cause]).Msg("attempt failed")
	case core.TraceCallCut:
		line.Stringer("reason", trace.Cut).Uint64("conn", uint64(trace.Conn)).Dur("stood_ms", trace.StoodFor).Msg("established call cut")
	case core.TraceCallMoved:
		line.Str("former", trace.Former).Dur("stood_ms", trace.StoodFor).Msg("established call stands on another server")
	case core.TraceServerListed:
		line.Str("address", trace.Address).Str("phase", phaseNames[trace.Phase]).Int64("since_ms", trace.Started.Milliseconds()).Msg("server listed")
	case core.TraceSetUpRefused:
		line.Stringer("reason", trace.Refusal).Msg("set-up refused")
	case core.TraceUnknownRelease:
		line.Msg("release of unknown call")
	}
}

// causeNames are the causes of ended attempts as they appear in the log.
var causeNames = map[elmseam.Cause]string{
	elmseam.CauseTimeout: "timeout", elmseam.CauseUnreachable: "unreachable", elmseam.CauseReset: "reset", elmseam.CauseCancelled: "cancelled",
}

// phaseNames are the states of servers as they appear in the log.
var phaseNames = map[elmseam.Phase]string{elmseam.PhaseGone: "gone", elmseam.PhaseReady: "ready", elmseam.PhaseDraining: "draining"}
