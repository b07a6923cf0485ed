package config

import (
	"time"

	"elmseam/internal/backoff"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/handover"
	"elmseam/internal/loop"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
	"elmseam/internal/mgmt"
	"elmseam/internal/peers"
	"elmseam/internal/platform"
	"elmseam/internal/probe"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// Limits holds the sizes, counts and times of a softswitch. Load fills it at the start and at each reload, except for the
// fields that TierConfig fills; the other packages receive their part of it.
type Limits struct {
	Core       core.Limits
	CallerConn transport.Limits // limits of a caller's connection

	ServerConn transport.Limits // limits of a connection to a server

	Feed           feed.Limits
	ConnectTimeout time.Duration // longest time to connect to a server
	ConfirmTimeout time.Duration // wait for the confirmation of a release (M3UA) before the release is sent again
	MaxCallerConns int           // max. simultaneous connections of platform callers
	MaxM3UACallers int           // max. simultaneous connections of M3UA callers; 0 unless ShareSocketsWithM3UA was called
	Inbox          loop.InboxLimits

	CallerQueueBytes int // max. memory of what is queued for all callers, in bytes
	ServerQueueBytes int // max. memory of what is queued for all servers, in bytes

	StatsInterval time.Duration // time between two snapshots of the statistics
	Mgmt          mgmt.Limits

	HandOver    handover.Limits
	Peers       peers.Limits
	Membership  membership.Limits  // filled by TierConfig from the members file
	Maintenance maintenance.Limits // filled by TierConfig from the members file, if that enables maintenance
	MemoryLimit int64              // soft memory limit of the Go runtime, in bytes
	GCPercent   int                // heap growth, in per cent, that triggers a garbage collection (GOGC)
}

// maxCountedDeadline is the longest time that a planned restart leaves to set-ups, whatever their deadlines.
const maxCountedDeadline = 3 * time.Second

// DiscoveryRetry bounds the waits after failed calls to the command channel. A change counts as known 6 s after the channel can be reached.
var DiscoveryRetry = backoff.Limits{Base: 100 * time.Millisecond, Max: 2500 * time.Millisecond}

// endedCallBytes is the approximate memory, in bytes, that one remembered ended call takes.
const endedCallBytes = 128

// callOverhead is the approximate memory, in bytes, that a call takes besides its descriptions and its number.
const callOverhead = 512

// openSetUpBytes is the approximate memory, in bytes, that an open set-up takes besides its description, with its attempt and timers.
const openSetUpBytes = 1024

// waitingReleaseBytes is the approximate memory, in bytes, that a release to a caller takes while it waits for a connection.
const waitingReleaseBytes = 64

// buildLimits returns the limits, without those of TierConfig: some are derived from the configuration file or the
// deployment's settings, the others are constants.
func buildLimits(parsed configFile, deployment settings.Deployment) Limits {
	maxMessageSize := 16 << 10
	memoryBytes := int64(parsed.Limits.MemoryMB) << 20
	shares := divideSockets(parsed.Limits.Sockets, false)
	limits := Limits{
		Core: core.Limits{
			AnswerMargin:        15 * time.Millisecond,
			RebindTimeout:       100 * time.Millisecond, // a close of the connection that crosses a set-up is noticed within 50 ms
			InitialRedialDelay:  100 * time.Millisecond,
			MaxRedialDelay:      500 * time.Millisecond,
			ConnsPerServer:      map[core.Protocol]int{platform.Protocol: 2},
			MaxConnsPerServer:   4, // a server reports its load on at most four
			MaxServerConns:      shares.servers,
			UnresponsiveAfter:   100 * time.Millisecond, // a server that isn't overloaded answers sooner
			MaxRemovedServers:   16,
			MaxPendingReleases:  8000, // fit into the outbox of one connection
			MaxCallerReleases:   int(memoryBytes / 16 / waitingReleaseBytes),
			ServerLostAfter:     7500 * time.Millisecond, // a release is due 8 s after the end of its call at the latest
			MinServerOutage:     time.Second,
			LivenessCheckAfter:  3500 * time.Millisecond, // after MaxSilence, and early enough for several dials
			LivenessRecheck:     time.Second,
			ReportedDrainTTL:    10 * time.Second,       // a server list arrives up to 7 s late
			DrainGrace:          500 * time.Millisecond, // the platform polls readiness every 0.1 s and then still sends new callers for 0.2 s
			DrainRefuseAfter:    1500 * time.Millisecond,
			DrainCheckInterval:  20 * time.Millisecond,
			DrainIdle:           20 * time.Millisecond,
			Transient:           map[core.Protocol]bool{platform.Protocol: true},
			MaxTransferredCalls: 4000, // this many calls fit into one hand-over message
			HandOverGrace:       100 * time.Millisecond,
			StopGrace:           700 * time.Millisecond,
			MaxStopWait:         min(deployment.MaxDeadline, maxCountedDeadline) + 550*time.Millisecond, // SIGKILL may come 0.15 s later
			StopLinger:          60 * time.Millisecond,                                                  // data that crosses the close of a connection arrives within 50 ms
			CallerConnsTarget:   shares.callers - shares.callers/8,                                      // the remaining eighth is for connections being opened or closed
			NewConnGrace:        250 * time.Millisecond,
			CallerQuietAfter:    400 * time.Millisecond, // the platform's front tests every 0.1 s
			MaxOpen:             deployment.MaxOpenCalls,
			MaxEndedCalls:       int(memoryBytes / 8 / endedCallBytes),

			MaxAttemptedElsewhere: int(memoryBytes / 64 / endedCallBytes),

			Probe:          probe.Limits{Permitted: deployment.ProbesEnabled, Rate: 1, Burst: 2, Timeout: 1500 * time.Millisecond},
			MaxRoutes:      10000,
			RetryAfterHint: max(deployment.MinAim/4, 50*time.Millisecond), // leaves time for a new set-up within the aim
			EndedCallTTL:   max(deployment.MaxDeadline, 10*time.Second) * 6,
		},
		CallerConn: transport.Limits{
			InitialBufferSize: 4 << 10, MaxMessageSize: maxMessageSize, MaxQueuedBytes: 1 << 20,
			WriteTimeout: 5 * time.Second, FlushTimeout: 50 * time.Millisecond,
			MessageTimeout: 2500 * time.Millisecond, IdleTimeout: max(deployment.MaxDeadline, 10*time.Second) + 2*time.Second,
			LingerTimeout: 250 * time.Millisecond, MaxLingerBytes: 256 << 10,
		},
		Feed: feed.Limits{
			ConnectTimeout: time.Second, HeaderTimeout: 5 * time.Second, HedgeAfter: 2 * time.Second, ReadTimeout: 2500 * time.Millisecond, // the channel sends a comment every second
			RenewAfter: 5 * time.Second, // the channel counts an update as received 7 s after it sent it
			Retry:      DiscoveryRetry,
			RetryDelay: 100 * time.Millisecond, MaxEventSize: 1 << 20, InitialBufferSize: 4 << 10,
		},
		ConnectTimeout: deployment.ConnectTimeout,
		ConfirmTimeout: 15 * time.Second, // lower limit of timer T1 in ITU-T Q.764
		MaxCallerConns: shares.callers,
		Inbox:          loop.InboxLimits{MaxEvents: 4096, MaxBytes: memoryBytes / 16, MaxPerConn: 32},
		StatsInterval:  50 * time.Millisecond, // statistics may be up to 0.5 s old
		Mgmt: mgmt.Limits{MaxConns: shares.mgmt, MaxRequestSize: 8 << 10,
			ReadTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxStatsAge: 2 * time.Second, MaxOrders: 16},
		HandOver: handover.Limits{
			HelloTimeout: time.Second, ExitTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxMessageSize: 128 << 10,
			MaxQueuedBytes: max(4<<20, int(memoryBytes/8)), MaxEndedCalls: 4096,
		},
		Peers:       peers.Limits{MaxQueued: 256, MaxReceiveRate: 400, ListenRetryDelay: 100 * time.Millisecond},
		MemoryLimit: memoryBytes * 6 / 10,
		GCPercent:   200,
	}
	limits.ServerConn = limits.CallerConn
	limits.ServerConn.LineTimeout, limits.ServerConn.MaxSilence = 500*time.Millisecond, 3*time.Second
	// The linger is short for servers: they close at once, and the descriptor may be needed for another connection.
	limits.ServerConn.LingerTimeout = 50 * time.Millisecond
	limits.CallerQueueBytes, limits.ServerQueueBytes = int(memoryBytes/8), int(memoryBytes/8)
	// Callers that do not read fill half of it at most, as they are not read beyond this.
	limits.CallerConn.MaxQueuedBytes = min(limits.CallerConn.MaxQueuedBytes, limits.CallerQueueBytes/2/shares.callers)
	limits.ServerConn.MaxQueuedBytes = min(limits.ServerConn.MaxQueuedBytes, limits.ServerQueueBytes/4)
	limits.Core.MaxCallBytes, limits.Core.CallOverhead = int(memoryBytes/4), callOverhead
	if limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = 500 * time.Millisecond
	}
	if limits.Core.MaxOpen <= 0 {
		limits.Core.MaxOpen = 20000
	}
	limits.Core.MaxOpen = min(limits.Core.MaxOpen, int(memoryBytes/8/openSetUpBytes))
	return limits
}
