package elmseam

// What the embedding softswitch asks of the module and tells it of its tier. Nothing here decides.

// Caution sets the part, up to 1, of its own part of a cold server's budget that this sender takes.
func (c *Controller) Caution(part float64) { c.careful = min(max(part, 0), 1) }

// Allot sets what the tier lets this sender use of a cold server's budget, in set-ups a second of a warm one, in the place
// of its own part. Negative: the own part counts.
func (c *Controller) Allot(id ServerID, rate float64) {
	if s := c.byID[id]; s != nil {
		s.allot = rate
	}
}

// Cold is what this sender holds of a server that is cold.
type Cold struct {
	Until Time    // it is warm then
	Part  float64 // this sender's own part of it, in set-ups a second of a warm one
	Times float64 // set-ups a second that may be sent to it now for each that a warm one takes
}

// Cold says whether a server is cold at a time, and what is held of it.
func (c *Controller) Cold(id ServerID, now Time) (Cold, bool) {
	s := c.byID[id]
	if s == nil || s.phase != Ready || s.started <= 0 || now >= s.started+c.set.ColdRamp {
		return Cold{}, false
	}
	return Cold{s.started + c.set.ColdRamp, c.coldPart(s), c.coldTimes(s, now)}, true
}

// Avoids says whether a server gets nothing new for now: it is not ready, or its cut is a full one.
func (c *Controller) Avoids(id ServerID, now Time) bool {
	s := c.byID[id]
	return s == nil || s.phase != Ready || s.full || s.told >= 1 && now < s.lapse || s.lines >= 1
}

// Knows says whether a call is in hand, and Calls how many are.
func (c *Controller) Knows(id CallID) bool { return c.calls[id] != nil }

func (c *Controller) Calls() int { return len(c.calls) }
