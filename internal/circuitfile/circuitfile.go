// Package circuitfile keeps the states of the circuits to one server in a file that processes map into their memory. A process that starts
// after another one was killed finds there which calls stand on which circuits, and two processes that run side by side use different
// circuits. The contents outlive a process, not the machine.
package circuitfile

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"

	"elmseam/internal/circuits"
	"elmseam/internal/core"
)

// version is the version of the file's format. A file of another version is replaced.
const version = 1

// Layout of the file, in words of 8 bytes: the header, then two words for each circuit.
const (
	wordSize    = 8
	headerWords = 8
	wordVersion = 0 // version
	wordTrunk   = 1 // point codes of both ends, and the number of circuits
	wordOwner   = 2 // number of the process that opened the file last

	wordsPerCircuit = 2
	wordCall        = 0 // call on the circuit
	wordState       = 1 // the owner's number shifted by stateBits, and the state; 0: free
	stateBits       = 8
)

// Trunk names the circuits that a file is about.
type Trunk struct {
	OwnPointCode, ServerPointCode uint32 // 24 bits each
	Circuits                      int    // number of circuits, 65,536 at most
}

// word returns the trunk in one word of the file.
func (t Trunk) word() uint64 {
	return uint64(t.OwnPointCode)<<40 | uint64(t.ServerPointCode)<<16 | uint64(t.Circuits-1)
}

// File is an open file. It implements circuits.Table. Its methods may be called from any goroutine.
type File struct {
	words []uint64 // the file
	owner uint64   // number of this process among those that have opened the file
}

// Path returns the path of the file of a softswitch for a server.
func Path(dir, softswitch, server string) string {
	return filepath.Join(dir, fmt.Sprintf("elmseam-%s-%s.circuits", url.PathEscape(softswitch), url.PathEscape(server)))
}

// CallersPath returns the path of the file of a softswitch for its callers' circuits.
func CallersPath(dir, softswitch string) string {
	return filepath.Join(dir, fmt.Sprintf("elmseam-%s.callers", url.PathEscape(softswitch)))
}

// Open opens the file at path, and makes it if there is none or if it is about another trunk. found says whether it held the states of the
// trunk's circuits already.
func Open(path string, trunk Trunk) (file *File, found bool, err error) {
	words, found, err := openWords(path, (headerWords+wordsPerCircuit*trunk.Circuits)*wordSize, trunk)
	if err != nil {
		return nil, false, err
	}
	return &File{words: words, owner: atomic.AddUint64(&words[wordOwner], 1)}, found, nil
}

// openWords maps the file at path into memory, and makes it if there is none or if it is about another trunk or of another size.
func openWords(path string, size int, trunk Trunk) (words []uint64, found bool, err error) {
	words, err = mapFile(path, os.O_RDWR, size)
	if err == nil && words[wordVersion] == version && words[wordTrunk] == trunk.word() {
		return words, true, nil
	}
	words, err = create(path, size, trunk)
	return words, false, err
}

// create makes a file with all circuits free. It replaces another file at path at once: a process that has that one open keeps it.
func create(path string, size int, trunk Trunk) ([]uint64, error) {
	newPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(newPath)
	words, err := mapFile(newPath, os.O_RDWR|os.O_CREATE|os.O_EXCL, size)
	if err != nil {
		return nil, err
	}
	words[wordVersion], words[wordTrunk] = version, trunk.word()
	return words, os.Rename(newPath, path)
}

// mapFile maps a file of the given size into memory. With os.O_CREATE it makes the file.
func mapFile(path string, flag, size int) ([]uint64, error) {
	file, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if flag&os.O_CREATE != 0 {
		if err := file.Truncate(int64(size)); err != nil {
			return nil, err
		}
	}
	if info, err := file.Stat(); err != nil {
		return nil, err
	} else if info.Size() != int64(size) {
		return nil, errors.New("file of another size")
	}
	data, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return unsafe.Slice((*uint64)(unsafe.Pointer(&data[0])), size/wordSize), nil
}

// circuit returns the words of a circuit.
func (f *File) circuit(cic uint16) []uint64 {
	first := headerWords + wordsPerCircuit*int(cic)
	return f.words[first : first+wordsPerCircuit]
}

// ownState returns the word for a state of a circuit that this process uses.
func (f *File) ownState(state circuits.State) uint64 { return f.owner<<stateBits | uint64(state) }

// Claim seizes a free circuit for a call of this process. It returns false if the circuit is in use.
func (f *File) Claim(cic uint16, call core.ID) bool {
	words := f.circuit(cic)
	if !atomic.CompareAndSwapUint64(&words[wordState], 0, f.ownState(circuits.StateSettingUp)) {
		return false
	}
	atomic.StoreUint64(&words[wordCall], uint64(call))
	return true
}

// Set records the state of a circuit that this process uses. With circuits.StateFree the circuit can be seized by any process.
func (f *File) Set(cic uint16, state circuits.State) {
	if !f.Owned(cic) {
		return
	}
	word := f.ownState(state)
	if state == circuits.StateFree {
		word = 0
	}
	atomic.StoreUint64(&f.circuit(cic)[wordState], word)
}

// Owned reports whether this process uses a circuit.
func (f *File) Owned(cic uint16) bool {
	return atomic.LoadUint64(&f.circuit(cic)[wordState])>>stateBits == f.owner
}

// TakeEstablished frees a circuit on which a call of another process stands, and returns the call.
func (f *File) TakeEstablished(cic uint16) (core.ID, bool) {
	words := f.circuit(cic)
	word := atomic.LoadUint64(&words[wordState])
	call := core.ID(atomic.LoadUint64(&words[wordCall]))
	if word>>stateBits == f.owner || circuits.State(word) != circuits.StateEstablished {
		return 0, false
	}
	return call, atomic.CompareAndSwapUint64(&words[wordState], word, 0)
}

// Adopt makes a circuit that another process uses one of this process, and returns its state and call. It returns false if no other process
// uses the circuit.
func (f *File) Adopt(cic uint16) (call core.ID, state circuits.State, adopted bool) {
	words := f.circuit(cic)
	word := atomic.LoadUint64(&words[wordState])
	if word == 0 || word>>stateBits == f.owner {
		return 0, circuits.StateFree, false
	}
	state = circuits.State(word)
	call = core.ID(atomic.LoadUint64(&words[wordCall]))
	return call, state, atomic.CompareAndSwapUint64(&words[wordState], word, f.ownState(state))
}
