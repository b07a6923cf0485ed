package explore

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds are where an exploration stops before it is complete.
type Bounds struct {
	Depth   int           // things that happen one after the other; 0: any number
	Time    time.Duration // 0: any
	Memory  int64         // bytes for the states that have been seen; 0: 1 GiB
	Workers int           // 0: one a processor
	Walks   int           // random walks to the end, where it is not complete
	Seed    uint64        // of the walks
}

// Report says what was explored.
type Report struct {
	Complete       bool   // every state that can be reached was
	Depth          int    // every state that so many things lead to was
	StopReason     string // it is not complete
	States         int    // different ones
	Steps          int    // things that happened
	TerminalStates int    // states in which every call is over
	Walks          int    // sampled beyond that
	Elapsed        time.Duration
	Memory         int64
	Counterexample *Trace // to a rule that is broken; nil: none is
}

// nodeSize is about what a state costs: its node, and its digest among those seen.
const bytesPerState = 8 + 16 + 24

// node is a state by the way to it: the state before, and what happened then.
type searchNode struct {
	parent int32
	action Action
}

// found is what a worker found of one action in one state.
type stepResult struct {
	hasAction bool // false: of the state itself
	action    Action
	digest    xxh3.Uint128
	terminal  bool
	violation *Violation
}

type search struct {
	cfg    Config
	nodes  []searchNode
	seen   map[xxh3.Uint128]struct{}
	report Report
}

// Run explores breadth first. States are kept as the ways to them and made again when their turn comes; see
// docs/CHECKING.md for what that costs.
func Run(ctx context.Context, cfg Config, bounds Bounds) (*Report, error) {
	start := time.Now()
	initial, err := New(cfg)
	if err != nil {
		return nil, err
	}
	if bounds.Memory <= 0 {
		bounds.Memory = 1 << 30
	}
	if bounds.Workers <= 0 {
		bounds.Workers = runtime.GOMAXPROCS(0)
	}
	if bounds.Time > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bounds.Time)
		defer cancel()
	}
	s := &search{cfg: cfg, nodes: []searchNode{{parent: -1}}, seen: map[xxh3.Uint128]struct{}{initial.Digest(): {}}}
	s.report.States = 1
	s.breadthFirst(ctx, bounds)
	if !s.report.Complete && s.report.Counterexample == nil && bounds.Walks > 0 {
		s.randomWalks(bounds)
	}
	if s.report.Counterexample != nil {
		s.report.Counterexample = s.report.Counterexample.Shrink(cfg)
	}
	s.report.Elapsed = time.Since(start)
	s.report.Memory = int64(len(s.nodes)) * bytesPerState
	return &s.report, nil
}

// batch is how many states the workers take at a time; between batches the bounds are looked at.
const batchSize = 2048

// levels goes through the states, those that fewest things lead to first.
func (s *search) breadthFirst(ctx context.Context, bounds Bounds) {
	for lo, hi := 0, 1; ; s.report.Depth++ {
		if lo == hi {
			s.report.Complete = true
			return
		}
		if bounds.Depth > 0 && s.report.Depth >= bounds.Depth {
			s.report.StopReason = "depth"
			return
		}
		for at := lo; at < hi; at += batchSize {
			switch {
			case ctx.Err() != nil:
				s.report.StopReason = "time"
				return
			case int64(len(s.nodes))*bytesPerState > bounds.Memory:
				s.report.StopReason = "memory"
				return
			}
			if s.merge(at, s.expand(at, min(at+batchSize, hi), bounds.Workers)) {
				return
			}
		}
		lo, hi = hi, len(s.nodes)
	}
}

// expand has everything happen that can in some states, on all workers.
func (s *search) expand(lo, hi, workers int) [][]stepResult {
	results := make([][]stepResult, hi-lo)
	next := make(chan int, hi-lo)
	for i := lo; i < hi; i++ {
		next <- i
	}
	close(next)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				results[i-lo] = s.successors(i)
			}
		})
	}
	wg.Wait()
	return results
}

// successors are what follows from a state.
func (s *search) successors(i int) []stepResult {
	path := s.path(i)
	model, _ := Replay(s.cfg, path)
	actions := model.EnabledActions()
	results := make([]stepResult, 0, len(actions)+1)
	switch terminal := model.Terminal(); {
	case terminal:
		results = append(results, stepResult{terminal: true, violation: model.violation()})
	case len(actions) == 0:
		model.checkDeadlock()
		results = append(results, stepResult{violation: model.violation()})
	}
	if model.violation() != nil {
		return results
	}
	for n, a := range actions {
		if n > 0 {
			model, _ = Replay(s.cfg, path)
		}
		model.apply(a)
		result := stepResult{hasAction: true, action: a, violation: model.violation()}
		if result.violation == nil {
			result.digest = model.Digest()
		}
		results = append(results, result)
	}
	return results
}

// merge takes in what the workers found, in the order of the states: the same exploration comes to the same counts and
// the same counterexample, however many workers there are. It says whether a rule is broken.
func (s *search) merge(lo int, results [][]stepResult) bool {
	for i, stateResults := range results {
		for _, result := range stateResults {
			if result.violation != nil {
				path := s.path(lo + i)
				if result.hasAction {
					path = append(path, result.action)
				}
				s.report.Counterexample = &Trace{Config: s.cfg, Violation: *result.violation, Actions: path}
				return true
			}
			if result.terminal {
				s.report.TerminalStates++
			}
			if !result.hasAction {
				continue
			}
			s.report.Steps++
			if _, known := s.seen[result.digest]; known {
				continue
			}
			s.seen[result.digest] = struct{}{}
			s.nodes = append(s.nodes, searchNode{int32(lo + i), result.action})
			s.report.States++
		}
	}
	return false
}

// way is what happened up to a state.
func (s *search) path(i int) []Action {
	n := 0
	for at := i; s.nodes[at].parent >= 0; at = int(s.nodes[at].parent) {
		n++
	}
	path := make([]Action, n)
	for at := i; s.nodes[at].parent >= 0; at = int(s.nodes[at].parent) {
		n--
		path[n] = s.nodes[at].action
	}
	return path
}

// walks samples what lies beyond: from the beginning to the end, any thing that can happen as likely as another.
func (s *search) randomWalks(bounds Bounds) {
	rnd := rand.New(rand.NewPCG(bounds.Seed, 1))
	for range bounds.Walks {
		model, _ := New(s.cfg)
		var path []Action
		for model.violation() == nil {
			actions := model.EnabledActions()
			if terminal := model.Terminal(); len(actions) == 0 || model.violation() != nil {
				if !terminal {
					model.checkDeadlock()
				}
				break
			}
			a := actions[rnd.IntN(len(actions))]
			path = append(path, a)
			model.apply(a)
			s.report.Steps++
		}
		s.report.Walks++
		if v := model.violation(); v != nil {
			s.report.Counterexample = &Trace{Config: s.cfg, Violation: *v, Actions: path}
			return
		}
	}
}

// Replay has things happen from the beginning. It stops at the first that can't happen, and says how many did.
func Replay(cfg Config, path []Action) (Model, int) {
	model, err := New(cfg)
	if err != nil {
		panic(err) // the configuration was checked when the search began
	}
	for i, a := range path {
		model.apply(a)
		if model.violation() != nil {
			return model, i + 1
		}
	}
	return model, len(path)
}
