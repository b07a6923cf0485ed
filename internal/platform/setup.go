package platform

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/settings"
)

// setUpEvent translates a set-up message. An invalid set-up gets class -1, and the core refuses it. It must not reach a server:
// on a call without an id, servers close the connection with all other calls on it, and they would answer any other invalid
// set-up with an error, which costs them work.
func (p *Platform) setUpEvent(conn core.ConnID, setUp frame, receivedAt core.Time) core.SetUp {
	ev := core.SetUp{ID: setUp.callID, From: conn, ClassName: setUp.class, Tenant: setUp.tenant,
		NumberText: setUp.numberText, Number: core.NumberValue(setUp.numberText), Desc: setUp.desc, Cell: -1, At: receivedAt}
	timeLeft, err := strconv.ParseFloat(setUp.timeLeft, 64)
	cfg := p.config.Load()
	classIndex, classKnown := cfg.classIndexes[setUp.class]
	var class settings.Class
	if classKnown {
		class = cfg.Deployment.Classes[classIndex]
	}
	valid := setUp.callID != 0 && classKnown && err == nil && timeLeft >= 0 && timeLeft < maxTimeLeft
	for pair := range strings.SplitSeq(setUp.extras, ";") {
		if pair == "" {
			continue
		}
		name, text, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		valid = valid && err == nil
		switch name {
		case "dest":
			valid = valid && value == math.Trunc(value) && value >= 0 && value < maxCells
			ev.Cell = int(value)
			valid = valid && (len(class.Cells) == 0 || slices.Contains(class.Cells, ev.Cell))
		case "width":
			valid = valid && value > 0 && (class.Lines == 0 || value == class.Lines)
		case "again":
			ev.Interrupted = value == 1
		}
	}
	if ev.Class = classIndex; !valid {
		p.sampledLog.Warn().Str("class", setUp.class).Str("left", setUp.timeLeft).Str("extras", setUp.extras).Msg("invalid set-up refused")
		ev.Class = -1
		return ev
	}
	ev.TimeLeft = time.Duration(timeLeft * float64(time.Millisecond))
	if class.Deadline > 0 { // no caller waits longer; a time left of days would keep a timer for days
		ev.TimeLeft = min(ev.TimeLeft, class.Deadline)
	}
	return ev
}

// Exclusive upper limits of values in a valid set-up.
const (
	maxTimeLeft = 1e9     // milliseconds
	maxCells    = 1 << 16 // cell index
)
