package transport

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLogLinesPerSecond is the max number of lines a second that a sampled logger writes.
const maxLogLinesPerSecond = 5

// SampledLogger returns a logger that drops the lines of a second beyond the first maxLogLinesPerSecond. It is for events
// that a peer can cause at any rate.
func SampledLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxLogLinesPerSecond, Period: time.Second})
}
