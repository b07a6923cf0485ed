package swarm

import (
	"math/rand/v2"
	"testing"
	"time"

	"elmseam/internal/membership"
)

const second = time.Second

// lossy loses a share of the datagrams, doubles a tenth and lets them pass each other.
func lossy(share float64) func(Time, int, int, *rand.Rand) []time.Duration {
	return func(_ Time, _, _ int, r *rand.Rand) []time.Duration {
		if r.Float64() < share {
			return nil
		}
		ds := []time.Duration{time.Millisecond + time.Duration(r.Int64N(int64(20*time.Millisecond)))}
		if r.Float64() < 0.1 {
			ds = append(ds, ds[0]+time.Duration(r.Int64N(int64(30*time.Millisecond))))
		}
		return ds
	}
}

func begin(t *testing.T, cfg Config) *Swarm {
	t.Helper()
	if cfg.Limits == (membership.Limits{}) {
		cfg.Limits = membership.Defaults()
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// agree fails unless every running member holds every running one alive, and the others as given.
func agree(t *testing.T, s *Swarm, when string, others membership.State) {
	t.Helper()
	n := len(s.members)
	for i := range n {
		if !s.Running(i) {
			continue
		}
		for j := range n {
			got := s.Held(i, j).State
			if s.Running(j) && !got.There() || !s.Running(j) && got != others {
				t.Errorf("%s: member %d holds %d for %v (running %v)", when, i, j, got, s.Running(j))
			}
		}
	}
}
