package lab

import (
	"fmt"
	"slices"
	"time"
)

// View is what one softswitch's door says of its tier at a moment: its state for each, by place.
type View struct {
	States    []string
	Majority  bool
	ColdShare float64
}

func isDown(state string) bool  { return state == "dead" || state == "left" }
func isThere(state string) bool { return state == "alive" || state == "draining" }

// Detection is how the others saw a softswitch that the lab killed, stopped or paused. Times are since the trouble
// began, for Back since it ended; negative: it was not seen.
type Detection struct {
	Softswitch   string        `json:"softswitch"`
	Kind         string        `json:"kind"`
	At           time.Duration `json:"at_ns"`
	Suspected    time.Duration `json:"suspected_ns"` // some other holds it for suspect or worse
	AllSuspected time.Duration `json:"known_ns"`     // every other that runs holds it for suspect or worse
	Dead         time.Duration `json:"dead_ns"`      // some other holds it dead or left
	AllDead      time.Duration `json:"all_dead_ns"`  // every other that runs does
	Ended        time.Duration `json:"ended_ns"`     // when the trouble ended, since the start of the run
	AllAvailable time.Duration `json:"back_ns"`      // every other that runs holds it there again
	place        int
}

// FalseDeath is a softswitch held dead that was there and could be heard.
type FalseDeath struct {
	At     time.Duration `json:"at_ns"`
	By, Of string
}

// aftermath is how long after a trouble or a cut has ended what is held of those it met may still come from it.
const aftermath = 3 * time.Second

// TierChecker follows the softswitches' views of each other. Like the judge it does no I/O and reads no clock.
type TierChecker struct {
	views      []View // each one's last; no states: none seen in this life
	hindered   []bool
	freed      []time.Duration // its last trouble ended; -1: it had none
	cut        NetworkConditions
	cutEnded   time.Duration // -1: none has
	detections []*Detection
	deaths     []FalseDeath
	works      []*MaintenanceRun
	over       map[int]bool // its last request is
	mostOut    int
	breaches   map[string]*Violation
}

// NewTierChecker follows so many softswitches.
func NewTierChecker(n int) *TierChecker {
	w := &TierChecker{views: make([]View, n), hindered: make([]bool, n), breaches: make(map[string]*Violation), over: make(map[int]bool), cutEnded: -1}
	for range n {
		w.freed = append(w.freed, -1)
	}
	return w
}

func (w *TierChecker) broke(rule string, at time.Duration, format string, args ...any) {
	b := w.breaches[rule]
	if b == nil {
		b = &Violation{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		w.breaches[rule] = b
	}
	b.Count++
}

// RecordFault says that the lab begins to hinder a softswitch, or has ceased to. A kill ends what it held.
func (w *TierChecker) RecordFault(at time.Duration, place int, kind string, begins bool) {
	switch {
	case begins:
		w.hindered[place] = true
		w.detections = append(w.detections, &Detection{Softswitch: MemberName(place), Kind: kind, At: at,
			Suspected: -1, AllSuspected: -1, Dead: -1, AllDead: -1, Ended: -1, AllAvailable: -1, place: place})
		if kind != "pause" {
			w.views[place] = View{}
		}
	case w.hindered[place]:
		w.hindered[place], w.freed[place] = false, at
		for _, d := range w.detections {
			if d.place == place && d.Ended < 0 {
				d.Ended = at
			}
		}
	}
}

// SetConditions says how the datagrams between softswitches fare from now on.
func (w *TierChecker) SetConditions(at time.Duration, weather NetworkConditions) {
	if w.cut.Groups != nil && weather.Groups == nil {
		w.cutEnded = at
	}
	w.cut = weather
}

// apart says whether two softswitches can't be held to hear each other.
func (w *TierChecker) apart(a, b int, at time.Duration) bool {
	return w.cut.Groups != nil && w.cut.Groups[a] != w.cut.Groups[b] || w.cutEnded >= 0 && at < w.cutEnded+aftermath
}

// RecordView takes in what a softswitch says of its tier.
func (w *TierChecker) RecordView(at time.Duration, observer int, v View) {
	was := w.views[observer]
	if len(v.States) != len(w.views) || w.hindered[observer] {
		return
	}
	w.views[observer] = v
	there := 0
	for _, s := range v.States {
		if isThere(s) {
			there++
		}
	}
	if whole := 2*there > len(v.States); v.ColdShare > 1 || !whole && v.ColdShare > float64(there)/float64(len(v.States))+1e-9 {
		w.broke("too bold without a majority", at, "%s sees %d of %d there and takes %.2f of its part of a cold server's budget",
			MemberName(observer), there, len(v.States), v.ColdShare)
	}
	for of, s := range v.States {
		if of == observer || s != "dead" || len(was.States) > 0 && was.States[of] == "dead" {
			continue
		}
		if !w.hindered[of] && (w.freed[of] < 0 || at > w.freed[of]+aftermath) && !w.apart(observer, of, at) {
			w.deaths = append(w.deaths, FalseDeath{at, MemberName(observer), MemberName(of)})
		}
	}
	for _, d := range w.detections {
		w.follow(at, d)
	}
}

// follow looks how far the others are with a trouble.
func (w *TierChecker) follow(at time.Duration, d *Detection) {
	others, suspect, dead, there := 0, 0, 0, 0
	for o, v := range w.views {
		if o == d.place || w.hindered[o] || len(v.States) == 0 {
			continue
		}
		others++
		switch s := v.States[d.place]; {
		case isThere(s):
			there++
		case isDown(s):
			suspect++
			dead++
		case s == "suspect":
			suspect++
		}
	}
	mark := func(t *time.Duration, when bool, since time.Duration) {
		if *t < 0 && when && others > 0 {
			*t = at - since
		}
	}
	if d.Ended < 0 {
		mark(&d.Suspected, suspect > 0, d.At)
		mark(&d.AllSuspected, suspect == others, d.At)
		mark(&d.Dead, dead > 0, d.At)
		mark(&d.AllDead, dead == others, d.At)
	} else {
		mark(&d.AllAvailable, there == others, d.Ended)
	}
}

// CheckConvergence judges the views at the end of a run, long enough after its last fault: those that run hold each other there, and
// those that don't down.
func (w *TierChecker) CheckConvergence(at time.Duration, running func(place int) bool) {
	for o, v := range w.views {
		if !running(o) {
			continue
		}
		if len(v.States) == 0 {
			w.broke("views disagree", at, "%s shows none", MemberName(o))
			continue
		}
		for of, s := range v.States {
			if r := running(of); r && !isThere(s) || !r && !isDown(s) {
				w.broke("views disagree", at, "%s holds %s %s, and it runs: %t", MemberName(o), MemberName(of), s, r)
			}
		}
	}
}

// Violations are the broken invariants, first seen first.
func (w *TierChecker) Violations() []Violation {
	var out []Violation
	for _, b := range w.breaches {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b Violation) int { return int(a.First - b.First) })
	return out
}

// StateInitials are each softswitch's last view, a letter for each softswitch of the tier.
func (w *TierChecker) StateInitials() []string {
	var out []string
	for _, v := range w.views {
		row := ""
		for _, s := range v.States {
			row += s[:1]
		}
		out = append(out, row)
	}
	return out
}
