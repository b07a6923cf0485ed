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
const nodeSize = 8 + 16 + 24

// node is a state by the way to it: the state before, and what happened then.
type node struct {
	from int32
	act  Action
}

// found is what a worker found of one action in one state.
type found struct {
	acted  bool // false: of the state itself
	act    Action
	digest xxh3.Uint128
	over   bool
	broken *Violation
}

type search struct {
	cfg   Config
	nodes []node
	seen  map[xxh3.Uint128]struct{}
	rep   Report
}

// Run explores breadth first. States are kept as the ways to them and made again when their turn comes; see
// docs/CHECKING.md for what that costs.
func Run(ctx context.Context, cfg Config, b Bounds) (*Report, error) {
	began := time.Now()
	w, err := New(cfg)
	if err != nil {
		return nil, err
	}
	if b.Memory <= 0 {
		b.Memory = 1 << 30
	}
	if b.Workers <= 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	if b.Time > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.Time)
		defer cancel()
	}
	s := &search{cfg: cfg, nodes: []node{{from: -1}}, seen: map[xxh3.Uint128]struct{}{w.Digest(): {}}}
	s.rep.States = 1
	s.levels(ctx, b)
	if !s.rep.Complete && s.rep.Counterexample == nil && b.Walks > 0 {
		s.walks(b)
	}
	if s.rep.Counterexample != nil {
		s.rep.Counterexample = s.rep.Counterexample.Shrink(cfg)
	}
	s.rep.Elapsed = time.Since(began)
	s.rep.Memory = int64(len(s.nodes)) * nodeSize
	return &s.rep, nil
}

// batch is how many states the workers take at a time; between batches the bounds are looked at.
const batch = 2048

// levels goes through the states, those that fewest things lead to first.
func (s *search) levels(ctx context.Context, b Bounds) {
	for lo, hi := 0, 1; ; s.rep.Depth++ {
		if lo == hi {
			s.rep.Complete = true
			return
		}
		if b.Depth > 0 && s.rep.Depth >= b.Depth {
			s.rep.StopReason = "depth"
			return
		}
		for at := lo; at < hi; at += batch {
			switch {
			case ctx.Err() != nil:
				s.rep.StopReason = "time"
				return
			case int64(len(s.nodes))*nodeSize > b.Memory:
				s.rep.StopReason = "memory"
				return
			}
			if s.merge(at, s.expand(at, min(at+batch, hi), b.Workers)) {
				return
			}
		}
		lo, hi = hi, len(s.nodes)
	}
}

// expand has everything happen that can in some states, on all workers.
func (s *search) expand(lo, hi, workers int) [][]found {
	out := make([][]found, hi-lo)
	next := make(chan int, hi-lo)
	for i := lo; i < hi; i++ {
		next <- i
	}
	close(next)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				out[i-lo] = s.successors(i)
			}
		})
	}
	wg.Wait()
	return out
}

// successors are what follows from a state.
func (s *search) successors(i int) []found {
	way := s.way(i)
	w, _ := Replay(s.cfg, way)
	acts := w.EnabledActions()
	all := make([]found, 0, len(acts)+1)
	switch over := w.Terminal(); {
	case over:
		all = append(all, found{over: true, broken: w.violation()})
	case len(acts) == 0:
		w.stuck()
		all = append(all, found{broken: w.violation()})
	}
	if w.violation() != nil {
		return all
	}
	for n, a := range acts {
		if n > 0 {
			w, _ = Replay(s.cfg, way)
		}
		w.apply(a)
		f := found{acted: true, act: a, broken: w.violation()}
		if f.broken == nil {
			f.digest = w.Digest()
		}
		all = append(all, f)
	}
	return all
}

// merge takes in what the workers found, in the order of the states: the same exploration comes to the same counts and
// the same counterexample, however many workers there are. It says whether a rule is broken.
func (s *search) merge(lo int, out [][]found) bool {
	for i, all := range out {
		for _, f := range all {
			if f.broken != nil {
				way := s.way(lo + i)
				if f.acted {
					way = append(way, f.act)
				}
				s.rep.Counterexample = &Trace{Config: s.cfg, Violation: *f.broken, Actions: way}
				return true
			}
			if f.over {
				s.rep.TerminalStates++
			}
			if !f.acted {
				continue
			}
			s.rep.Steps++
			if _, known := s.seen[f.digest]; known {
				continue
			}
			s.seen[f.digest] = struct{}{}
			s.nodes = append(s.nodes, node{int32(lo + i), f.act})
			s.rep.States++
		}
	}
	return false
}

// way is what happened up to a state.
func (s *search) way(i int) []Action {
	n := 0
	for at := i; s.nodes[at].from >= 0; at = int(s.nodes[at].from) {
		n++
	}
	way := make([]Action, n)
	for at := i; s.nodes[at].from >= 0; at = int(s.nodes[at].from) {
		n--
		way[n] = s.nodes[at].act
	}
	return way
}

// walks samples what lies beyond: from the beginning to the end, any thing that can happen as likely as another.
func (s *search) walks(b Bounds) {
	rnd := rand.New(rand.NewPCG(b.Seed, 1))
	for range b.Walks {
		w, _ := New(s.cfg)
		var way []Action
		for w.violation() == nil {
			acts := w.EnabledActions()
			if over := w.Terminal(); len(acts) == 0 || w.violation() != nil {
				if !over {
					w.stuck()
				}
				break
			}
			a := acts[rnd.IntN(len(acts))]
			way = append(way, a)
			w.apply(a)
			s.rep.Steps++
		}
		s.rep.Walks++
		if v := w.violation(); v != nil {
			s.rep.Counterexample = &Trace{Config: s.cfg, Violation: *v, Actions: way}
			return
		}
	}
}

// Replay has things happen from the beginning. It stops at the first that can't happen, and says how many did.
func Replay(cfg Config, way []Action) (Model, int) {
	w, err := New(cfg)
	if err != nil {
		panic(err) // the configuration was checked when the search began
	}
	for i, a := range way {
		w.apply(a)
		if w.violation() != nil {
			return w, i + 1
		}
	}
	return w, len(way)
}
