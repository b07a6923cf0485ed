package m3ua

import (
	"elmseam/internal/circuitfile"
	"elmseam/internal/core"
)

// loadCallerCircuits takes over the callers' circuits of an earlier process, which has ended, and keeps the file of them from then on.
func (m *M3UA) loadCallerCircuits() {
	dir := m.config.Load().StateDir
	if dir == "" {
		return
	}
	file, calls, err := circuitfile.OpenCallers(circuitfile.CallersPath(dir, m.config.Load().Name))
	if err != nil {
		m.log.Warn().Err(err).Msg("no file of callers' circuits: calls of an earlier process are not known")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerFile = file
	for circuit, id := range calls {
		circ := circuitID{circuit.OriginPointCode, circuit.DestinationPointCode, circuit.Circuit}
		m.callByCircuit[circ], m.circuitByCall[id], m.earlierCalls[id] = id, circ, true
	}
	if len(calls) > 0 {
		m.log.Info().Int("calls", len(calls)).Msg("callers' calls of an earlier process")
	}
}

// fileKey returns the circuit in the form of the file.
func (c circuitID) fileKey() circuitfile.CallerCircuit {
	return circuitfile.CallerCircuit{OriginPointCode: c.opc, DestinationPointCode: c.dpc, Circuit: c.cic}
}

// seizeCircuitLocked returns the call on a caller's circuit on which an IAM has come: that of an earlier IAM, which this one repeats, or else a
// new one. A call that an earlier process left on the circuit is over for its caller, and is returned too; 0: there is none. The caller of
// the method holds m.mu.
func (m *M3UA) seizeCircuitLocked(circ circuitID) (id, over core.ID) {
	id, inUse := m.callByCircuit[circ]
	if inUse && !m.earlierCalls[id] {
		return id, 0
	}
	if inUse {
		over, _ = m.freeCircuitLocked(circ)
	}
	id = m.newCallID()
	m.callByCircuit[circ], m.circuitByCall[id] = id, circ
	if m.callerFile != nil && !m.callerFile.Put(circ.fileKey(), id) {
		m.sampledLog.Warn().Msg("no room in the file of callers' circuits: the next process will not know a call")
	}
	return id, over
}

// freeCircuitLocked frees a circuit towards a caller and returns the call that was on it. The caller of the method holds m.mu
// until the next message on the circuit is queued: otherwise the answer to an abandoned call could be queued after the
// RLC, and the client would take this answer for that of the circuit's next call.
func (m *M3UA) freeCircuitLocked(circ circuitID) (core.ID, bool) {
	id, ok := m.callByCircuit[circ]
	if ok {
		delete(m.callByCircuit, circ)
		delete(m.circuitByCall, id)
		delete(m.earlierCalls, id)
		if m.callerFile != nil {
			m.callerFile.Remove(circ.fileKey())
		}
	}
	return id, ok
}
