package m3ua

import (
	"math/rand/v2"
	"sync"
	"time"

	"elmseam/internal/circuitfile"
	"elmseam/internal/circuits"
)

// trunk holds the circuits to one server. The mutex guards them, as the loop, the reading side and the writing side of the
// connection all change them.
type trunk struct {
	pointCodes circuitID // point codes of this program and the server; the cic in it is 0
	mu         sync.Mutex
	conns      []*serverConn // active associations
	*circuits.Circuits
}

// newTrunk returns the trunk to a server. Its circuits are free, except for those that earlier processes used, by the file in StateDir.
// Without that file, calls of an earlier process may stand on any circuit: then the first ones to be used are picked at random, as earlier
// processes have used few of many.
func (m *M3UA) newTrunk(server string, pointCodes circuitID, cfg Config) *trunk {
	t := &trunk{pointCodes: pointCodes, Circuits: circuits.New(cfg.Circuits)}
	t.StartAt(uint16(rand.IntN(cfg.Circuits)))
	if cfg.StateDir == "" {
		return t
	}
	file, found, err := circuitfile.Open(circuitfile.Path(cfg.StateDir, cfg.Name, server),
		circuitfile.Trunk{OwnPointCode: pointCodes.opc, ServerPointCode: pointCodes.dpc, Circuits: cfg.Circuits})
	if err != nil {
		m.log.Warn().Err(err).Str("server", server).Msg("no file of circuits: calls of an earlier process are not known")
		return t
	}
	if !found {
		m.log.Info().Str("server", server).Msg("new file of circuits: calls of an earlier process are not known")
	}
	t.UseTable(file)
	return t
}

// withLock holds the trunk's mutex and calls change with the current time.
func (t *trunk) withLock(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(time.Now())
}

// AdoptCircuits takes over the circuits of processes that have ended: their established calls stand on, and what else they left is
// released. No other process may use the same files then.
func (m *M3UA) AdoptCircuits() {
	for server, trunk := range m.trunks {
		trunk.withLock(func(now time.Time) {
			released := trunk.AdoptAll(now, len(trunk.conns) > 0)
			if len(trunk.conns) > 0 {
				trunk.conns[0].sendReleases(released)
			}
			if calls := len(trunk.Calls()); calls > 0 {
				m.log.Info().Str("server", server).Int("calls", calls).Msg("calls on the circuits, those of earlier processes included")
			}
		})
	}
}
