package explore

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// TraceVersion is that of the form of traces.
const TraceVersion = 1

// Trace is a way from the beginning to a rule that is broken.
type Trace struct {
	Config    Config
	Violation Violation
	Actions   []Action
}

// head is a trace's first line.
type head struct {
	Trace   string    `json:"trace"`
	Version int       `json:"version"`
	Config  Config    `json:"config"`
	Rule    Invariant `json:"rule"`
	Detail  string    `json:"detail"`
}

// tail is its last: a trace without it was cut short.
type tail struct {
	Actions int    `json:"actions"`
	Sum     string `json:"sum"` // of all lines before
}

const kindOfTrace = "elmseam-check"

// Write writes a trace, an action a line.
func (t *Trace) Write(out io.Writer) error {
	first, err := json.Marshal(head{kindOfTrace, TraceVersion, t.Config, t.Violation.Invariant, t.Violation.Detail})
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", first)
	for _, a := range t.Actions {
		fmt.Fprintf(&b, "%s\n", a)
	}
	last, err := json.Marshal(tail{len(t.Actions), fmt.Sprintf("%016x", xxh3.HashString(b.String()))})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s%s\n", b.String(), last)
	return err
}

// Errors of a trace that can't be read.
var (
	ErrNotTrace     = errors.New("not a trace of this program")
	ErrNewerVersion = errors.New("a trace of a newer version")
	ErrDamaged      = errors.New("the trace is damaged or cut short")
)

// ReadTrace reads a trace. One that is damaged, cut short or newer is refused.
func ReadTrace(in io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(in)
	var h head
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &h) != nil || h.Trace != kindOfTrace {
		return nil, ErrNotTrace
	}
	switch {
	case h.Version > TraceVersion:
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrNewerVersion, h.Version, TraceVersion)
	case h.Version < 1:
		return nil, ErrNotTrace
	}
	if err := h.Config.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	t := &Trace{Config: h.Config, Violation: Violation{h.Rule, h.Detail}}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", lines.Text())
	for lines.Scan() {
		var end tail
		if line := lines.Text(); strings.HasPrefix(line, "{") {
			if json.Unmarshal(lines.Bytes(), &end) != nil || end.Actions != len(t.Actions) ||
				end.Sum != fmt.Sprintf("%016x", xxh3.HashString(b.String())) || lines.Scan() {
				return nil, ErrDamaged
			}
			return t, nil
		}
		a, err := ParseAction(lines.Text())
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		t.Actions = append(t.Actions, a)
		fmt.Fprintf(&b, "%s\n", lines.Text())
	}
	return nil, ErrDamaged
}

// Replay has a trace happen, in a core that may be broken on purpose, and returns the rule that is broken, if one is. Tell,
// unless nil, hears of each thing as it happens.
func (t *Trace) Replay(cfg Config, tell func(a Action, at time.Duration)) (*Violation, error) {
	w, err := New(cfg)
	if err != nil {
		return nil, err
	}
	began := w.clock()
	for i, a := range t.Actions {
		if !w.TryApply(a) {
			return nil, fmt.Errorf("action %d, %s, can't happen there", i+1, a)
		}
		if tell != nil {
			tell(a, w.clock()-began)
		}
		if w.Terminal(); w.violation() != nil {
			return w.violation(), nil
		}
	}
	if !w.Terminal() && len(w.EnabledActions()) == 0 {
		w.stuck()
	}
	return w.violation(), nil
}

// Shrink leaves out what the trace doesn't need to break its rule.
func (t *Trace) Shrink(cfg Config) *Trace {
	least := *t
	least.Actions = slices.Clone(t.Actions)
	for shorter := true; shorter; {
		shorter = false
		for n := len(least.Actions) / 2; n >= 1; n /= 2 {
			for at := 0; at+n <= len(least.Actions); {
				try := Trace{Config: cfg, Actions: slices.Delete(slices.Clone(least.Actions), at, at+n)}
				if v, err := try.Replay(cfg, nil); err == nil && v != nil && v.Invariant == t.Violation.Invariant {
					least.Actions, least.Violation, shorter = try.Actions, *v, true
				} else {
					at++
				}
			}
		}
	}
	return &least
}
