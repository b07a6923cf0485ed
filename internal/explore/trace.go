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

// TraceVersion is the version of the trace format.
const TraceVersion = 1

// Trace is a counterexample: the actions that lead from the initial state to a violation.
type Trace struct {
	Config    Config
	Violation Violation
	Actions   []Action
}

// traceHeader is the first line of a trace.
type traceHeader struct {
	Trace     string    `json:"trace"`
	Version   int       `json:"version"`
	Config    Config    `json:"config"`
	Invariant Invariant `json:"rule"`
	Detail    string    `json:"detail"`
}

// traceTrailer is the last line of a trace. A trace without a trailer is truncated.
type traceTrailer struct {
	Actions  int    `json:"actions"` // number of actions
	Checksum string `json:"sum"`     // XXH3 hash of all lines before the trailer, in hexadecimal
}

// traceFormat identifies a trace in its header.
const traceFormat = "elmseam-check"

// Write writes the trace as text: the header, one action per line, the trailer.
func (t *Trace) Write(out io.Writer) error {
	header, err := json.Marshal(traceHeader{traceFormat, TraceVersion, t.Config, t.Violation.Invariant, t.Violation.Detail})
	if err != nil {
		return err
	}
	var body strings.Builder
	fmt.Fprintf(&body, "%s\n", header)
	for _, action := range t.Actions {
		fmt.Fprintf(&body, "%s\n", action)
	}
	trailer, err := json.Marshal(traceTrailer{len(t.Actions), fmt.Sprintf("%016x", xxh3.HashString(body.String()))})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s%s\n", body.String(), trailer)
	return err
}

// Errors that ReadTrace wraps or returns.
var (
	ErrNotTrace     = errors.New("not a trace of this program")
	ErrNewerVersion = errors.New("the trace has a newer version")
	ErrDamaged      = errors.New("the trace is damaged or truncated")
)

// ReadTrace reads a trace that Trace.Write has written. It returns an error for a damaged, truncated or newer trace.
func ReadTrace(in io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(in)
	var header traceHeader
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &header) != nil || header.Trace != traceFormat {
		return nil, ErrNotTrace
	}
	switch {
	case header.Version > TraceVersion:
		return nil, fmt.Errorf("%w: version %d, this program reads versions up to %d", ErrNewerVersion, header.Version, TraceVersion)
	case header.Version < 1:
		return nil, ErrNotTrace
	}
	if err := header.Config.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	trace := &Trace{Config: header.Config, Violation: Violation{header.Invariant, header.Detail}}
	var body strings.Builder
	fmt.Fprintf(&body, "%s\n", lines.Text())
	for lines.Scan() {
		var trailer traceTrailer
		if line := lines.Text(); strings.HasPrefix(line, "{") {
			if json.Unmarshal(lines.Bytes(), &trailer) != nil || trailer.Actions != len(trace.Actions) ||
				trailer.Checksum != fmt.Sprintf("%016x", xxh3.HashString(body.String())) || lines.Scan() {
				return nil, ErrDamaged
			}
			return trace, nil
		}
		action, err := ParseAction(lines.Text())
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		trace.Actions = append(trace.Actions, action)
		fmt.Fprintf(&body, "%s\n", lines.Text())
	}
	return nil, ErrDamaged
}

// Replay applies the actions of the trace to the model of cfg, which may have guards disabled, and returns the violation, or
// nil if there is none. Unless nil, observe is called after each action with the time since the initial state. Replay
// returns an error if an action is not enabled.
func (t *Trace) Replay(cfg Config, observe func(action Action, at time.Duration)) (*Violation, error) {
	model, err := New(cfg)
	if err != nil {
		return nil, err
	}
	start := model.modelTime()
	for i, action := range t.Actions {
		if !model.TryApply(action) {
			return nil, fmt.Errorf("action %d, %s, is not enabled in this state", i+1, action)
		}
		if observe != nil {
			observe(action, model.modelTime()-start)
		}
		if model.Terminal(); model.violation() != nil {
			return model.violation(), nil
		}
	}
	if !model.Terminal() && len(model.EnabledActions()) == 0 {
		model.checkDeadlock()
	}
	return model.violation(), nil
}

// Shrink removes actions that are not needed to violate the same invariant: it tries to leave out ever shorter runs of
// actions until none can be removed. The receiver is not changed.
func (t *Trace) Shrink(cfg Config) *Trace {
	shortest := *t
	shortest.Actions = slices.Clone(t.Actions)
	for reduced := true; reduced; {
		reduced = false
		for size := len(shortest.Actions) / 2; size >= 1; size /= 2 {
			for from := 0; from+size <= len(shortest.Actions); {
				candidate := Trace{Config: cfg, Actions: slices.Delete(slices.Clone(shortest.Actions), from, from+size)}
				if v, err := candidate.Replay(cfg, nil); err == nil && v != nil && v.Invariant == t.Violation.Invariant {
					shortest.Actions, shortest.Violation, reduced = candidate.Actions, *v, true
				} else {
					from++
				}
			}
		}
	}
	return &shortest
}
