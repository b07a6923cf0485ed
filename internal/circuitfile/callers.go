package circuitfile

import (
	"sync/atomic"

	"elmseam/internal/core"
)

// Layout of the file of callers' circuits, in words of 8 bytes: the header, then three words for each circuit in use.
const (
	wordsPerCallerCircuit = 3
	wordPointCodes        = 0 // origin and destination point code
	wordCallerCall        = 1 // call on the circuit
	wordCircuit           = 2 // circuit identification code with callerCircuitUsed; 0: the place is free
	callerCircuitUsed     = 1 << 16
)

// callersTrunk marks the header of a file of callers' circuits. It is no trunk: point codes are positive.
var callersTrunk = Trunk{Circuits: maxCallerCircuits}

// maxCallerCircuits is the number of callers' circuits that a file has room for.
const maxCallerCircuits = 1 << 14

// CallerCircuit is a circuit of a caller: the point codes and the circuit identification code of the message that seized it.
type CallerCircuit struct {
	OriginPointCode, DestinationPointCode uint32
	Circuit                               uint16
}

// Callers keeps which calls are on which circuits of callers, for the next process. Only one process may use a file at a time. Its methods
// are not safe for concurrent use.
type Callers struct {
	words  []uint64
	places map[CallerCircuit]int // index of each circuit in use
	free   []int                 // indexes of free places
}

// OpenCallers opens the file at path, and makes it if there is none. It returns the calls that an earlier process left there.
func OpenCallers(path string) (callers *Callers, calls map[CallerCircuit]core.ID, err error) {
	size := (headerWords + wordsPerCallerCircuit*maxCallerCircuits) * wordSize
	words, _, err := openWords(path, size, callersTrunk)
	if err != nil {
		return nil, nil, err
	}
	callers = &Callers{words: words, places: make(map[CallerCircuit]int)}
	calls = make(map[CallerCircuit]core.ID)
	for place := maxCallerCircuits - 1; place >= 0; place-- {
		entry := callers.place(place)
		if entry[wordCircuit] == 0 {
			callers.free = append(callers.free, place)
			continue
		}
		circuit := CallerCircuit{uint32(entry[wordPointCodes] >> 32), uint32(entry[wordPointCodes]), uint16(entry[wordCircuit])}
		callers.places[circuit], calls[circuit] = place, core.ID(entry[wordCallerCall])
	}
	return callers, calls, nil
}

// place returns the words of a place.
func (c *Callers) place(index int) []uint64 {
	first := headerWords + wordsPerCallerCircuit*index
	return c.words[first : first+wordsPerCallerCircuit]
}

// Put records the call on a circuit that is not in use. It returns false if there is no room.
func (c *Callers) Put(circuit CallerCircuit, call core.ID) bool {
	if len(c.free) == 0 {
		return false
	}
	index := c.free[len(c.free)-1]
	c.free = c.free[:len(c.free)-1]
	c.places[circuit] = index
	entry := c.place(index)
	entry[wordPointCodes] = uint64(circuit.OriginPointCode)<<32 | uint64(circuit.DestinationPointCode)
	entry[wordCallerCall] = uint64(call)
	atomic.StoreUint64(&entry[wordCircuit], callerCircuitUsed|uint64(circuit.Circuit)) // last: the process may be killed before
	return true
}

// Remove records that a circuit is free.
func (c *Callers) Remove(circuit CallerCircuit) {
	index, found := c.places[circuit]
	if !found {
		return
	}
	delete(c.places, circuit)
	atomic.StoreUint64(&c.place(index)[wordCircuit], 0)
	c.free = append(c.free, index)
}
