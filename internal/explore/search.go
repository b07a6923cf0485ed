package explore

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds limits a search.
type Bounds struct {
	Depth   int           // maximum number of actions that lead to a state; 0: unlimited
	Time    time.Duration // duration after which the breadth-first search starts no further batch; 0: unlimited
	Memory  int64         // maximum size of the visited states in bytes; 0: 1 GiB
	Workers int           // goroutines that compute successors; 0: one per processor
	Walks   int           // random walks after an incomplete search without a counterexample
	Seed    uint64        // seed of the random walks
}

// Report is the result of a search.
type Report struct {
	Complete       bool   // every reachable state was visited
	Depth          int    // every state that at most this many actions lead to was visited
	StopReason     string // bound that stopped the search: depth, time or memory; empty if complete or if a violation was found
	States         int    // distinct states visited
	Steps          int    // actions applied, not counting replays
	TerminalStates int    // terminal states found by the breadth-first search
	Walks          int    // random walks made
	Elapsed        time.Duration
	Memory         int64  // estimated size of the visited states in bytes
	Counterexample *Trace // shrunk trace to a violation; nil: no violation was found
}

// bytesPerState is the approximate memory per visited state: its searchNode and its entry in search.visitedDigests.
const bytesPerState = 8 + 16 + 24

// searchNode represents a state by the state before it and the action that leads to it.
type searchNode struct {
	parent int32 // index in search.nodes; -1: initial state
	action Action
}

// stepResult is the result of one action in one state, or of the checks of the state itself.
type stepResult struct {
	hasAction bool // false: result of the checks of the state itself
	action    Action
	digest    xxh3.Uint128
	terminal  bool
	violation *Violation
}

// search is a breadth-first search in progress.
type search struct {
	cfg            Config
	nodes          []searchNode
	visitedDigests map[xxh3.Uint128]struct{}
	report         Report
}

// Run searches the state space of a model breadth first. To save memory it keeps states as the actions that lead to them
// and rebuilds them by replay; docs/CHECKING.md says what that costs. The end of ctx stops the breadth-first
// search as the bound on time does, and like that bound it does not stop the random walks. The error is that of New.
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
	s := &search{cfg: cfg, nodes: []searchNode{{parent: -1}}, visitedDigests: map[xxh3.Uint128]struct{}{initial.Digest(): {}}}
	s.report.States = 1
	if violation := initial.violation(); violation != nil {
		s.report.Counterexample = &Trace{Config: cfg, Violation: *violation}
	} else {
		s.breadthFirst(ctx, bounds)
	}
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

// batchSize is the number of states that the workers expand between two checks of the bounds.
const batchSize = 2048

// breadthFirst visits the states level by level, in the order of the number of actions that lead to them.
func (s *search) breadthFirst(ctx context.Context, bounds Bounds) {
	for levelStart, levelEnd := 0, 1; ; s.report.Depth++ {
		if levelStart == levelEnd {
			s.report.Complete = true
			return
		}
		if bounds.Depth > 0 && s.report.Depth >= bounds.Depth {
			s.report.StopReason = "depth"
			return
		}
		for batchStart := levelStart; batchStart < levelEnd; batchStart += batchSize {
			switch {
			case ctx.Err() != nil:
				s.report.StopReason = "time"
				return
			case int64(len(s.nodes))*bytesPerState > bounds.Memory:
				s.report.StopReason = "memory"
				return
			}
			if s.mergeResults(batchStart, s.expandStates(batchStart, min(batchStart+batchSize, levelEnd), bounds.Workers)) {
				return
			}
		}
		levelStart, levelEnd = levelEnd, len(s.nodes)
	}
}

// expandStates computes the successors of the states with indexes first to end-1 on all workers.
func (s *search) expandStates(first, end, workers int) [][]stepResult {
	results := make([][]stepResult, end-first)
	pendingIndexes := make(chan int, end-first)
	for i := first; i < end; i++ {
		pendingIndexes <- i
	}
	close(pendingIndexes)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range pendingIndexes {
				results[i-first] = s.successors(i)
			}
		})
	}
	wg.Wait()
	return results
}

// successors returns the results of checking a state and of applying every enabled action to it.
func (s *search) successors(index int) []stepResult {
	path := s.pathTo(index)
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
	for n, action := range actions {
		if n > 0 {
			model, _ = Replay(s.cfg, path)
		}
		model.apply(action)
		result := stepResult{hasAction: true, action: action, violation: model.violation()}
		if result.violation == nil {
			result.digest = model.Digest()
		}
		results = append(results, result)
	}
	return results
}

// mergeResults adds the results of the workers in the order of the states, so that counts and counterexample do not
// depend on the number of workers. It reports whether a violation was found. first is the index of the first state.
func (s *search) mergeResults(first int, results [][]stepResult) bool {
	for i, stateResults := range results {
		for _, result := range stateResults {
			if result.violation != nil {
				path := s.pathTo(first + i)
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
			if _, known := s.visitedDigests[result.digest]; known {
				continue
			}
			s.visitedDigests[result.digest] = struct{}{}
			s.nodes = append(s.nodes, searchNode{int32(first + i), result.action})
			s.report.States++
		}
	}
	return false
}

// pathTo returns the actions that lead to the state with the given index in s.nodes.
func (s *search) pathTo(index int) []Action {
	length := 0
	for at := index; s.nodes[at].parent >= 0; at = int(s.nodes[at].parent) {
		length++
	}
	path := make([]Action, length)
	for at := index; s.nodes[at].parent >= 0; at = int(s.nodes[at].parent) {
		length--
		path[length] = s.nodes[at].action
	}
	return path
}

// randomWalks samples states beyond the bounds by walks from the initial state until no action is enabled. Each enabled
// action is equally likely.
func (s *search) randomWalks(bounds Bounds) {
	rng := rand.New(rand.NewPCG(bounds.Seed, 1))
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
			action := actions[rng.IntN(len(actions))]
			path = append(path, action)
			model.apply(action)
			s.report.Steps++
		}
		s.report.Walks++
		if violation := model.violation(); violation != nil {
			s.report.Counterexample = &Trace{Config: s.cfg, Violation: *violation, Actions: path}
			return
		}
	}
}

// Replay applies actions to the initial state. It stops after an action that causes a violation, and returns the state and
// how many actions were applied. Every action must be enabled where it is applied.
func Replay(cfg Config, path []Action) (Model, int) {
	model, err := New(cfg)
	if err != nil {
		panic(err) // the configuration was checked when the search began
	}
	for i, action := range path {
		model.apply(action)
		if model.violation() != nil {
			return model, i + 1
		}
	}
	return model, len(path)
}
