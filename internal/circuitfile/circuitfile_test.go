package circuitfile

import (
	"os"
	"testing"

	"elmseam/internal/circuits"
	"elmseam/internal/core"
)

// mustOpen opens a file, and fails the test if it held the trunk's circuits already and should not, or the other way round.
func mustOpen(t *testing.T, path string, trunk Trunk, wantFound bool) *File {
	t.Helper()
	file, found, err := Open(path, trunk)
	if err != nil || found != wantFound {
		t.Fatalf("found %v, error %v, want found %v", found, err, wantFound)
	}
	return file
}

// Two processes that share a file must never use one circuit, and each change must be seen by the other.
func TestProcessesShareCircuits(t *testing.T) {
	trunk := Trunk{OwnPointCode: 100, ServerPointCode: 201, Circuits: 1 << 16}
	path := Path(t.TempDir(), "n/1", "hlr 1")
	first := mustOpen(t, path, trunk, false)
	second := mustOpen(t, path, trunk, true)
	const cic = 1<<16 - 1
	if !first.Claim(cic, 7) || second.Claim(cic, 8) || first.Claim(cic, 9) {
		t.Fatal("a circuit is seized once")
	}
	if _, ok := second.TakeEstablished(cic); ok {
		t.Error("an unanswered set-up counts as an established call")
	}
	second.Set(cic, circuits.StateFree)
	first.Set(cic, circuits.StateEstablished)
	if call, ok := second.TakeEstablished(cic); call != 7 || !ok || first.Owned(cic) {
		t.Errorf("call %d, taken %v", call, ok)
	}
	if !second.Claim(cic, 8) {
		t.Error("the circuit is not free after its call has ended")
	}
	if call, state, ok := first.Adopt(cic); call != core.ID(8) || state != circuits.StateSettingUp || !ok || second.Owned(cic) {
		t.Errorf("adopted call %d in state %d, %v", call, state, ok)
	}
	if _, _, ok := first.Adopt(cic); ok {
		t.Error("a circuit of its own is adopted")
	}
}

// A file about another trunk, of another size or damaged is replaced, and a directory that does not exist is an error.
func TestOtherFileIsReplaced(t *testing.T) {
	trunk := Trunk{OwnPointCode: 100, ServerPointCode: 201, Circuits: 4}
	path := Path(t.TempDir(), "n1", "hlr")
	mustOpen(t, path, trunk, false).Claim(1, 7)
	for _, other := range []Trunk{{101, 201, 4}, {100, 202, 4}, {100, 201, 5}} {
		if !mustOpen(t, path, other, false).Claim(1, 8) {
			t.Errorf("%v: a circuit of another trunk is in use", other)
		}
	}
	for _, content := range []string{"", "x", string(make([]byte, (headerWords+4*wordsPerCircuit)*wordSize))} {
		os.WriteFile(path, []byte(content), 0o600)
		mustOpen(t, path, trunk, false)
		mustOpen(t, path, trunk, true)
	}
	if _, _, err := Open(Path(path, "n1", "hlr"), trunk); err == nil {
		t.Error("no error without a directory")
	}
}

// What a process leaves in the file of callers' circuits is what the next one finds, also after more circuits were used than it has room for.
func TestCallersCircuitsOutliveProcess(t *testing.T) {
	path := CallersPath(t.TempDir(), "n1")
	callers, calls, err := OpenCallers(path)
	if err != nil || len(calls) != 0 {
		t.Fatal(len(calls), err)
	}
	circuit := func(n int) CallerCircuit { return CallerCircuit{0xffffffff, uint32(n), uint16(n)} }
	for n := range maxCallerCircuits {
		if !callers.Put(circuit(n), core.ID(n+1)) {
			t.Fatalf("no room for circuit %d", n)
		}
	}
	if callers.Put(circuit(maxCallerCircuits), 1) {
		t.Error("there is room for more circuits than there are places")
	}
	for n := 1; n < maxCallerCircuits; n++ {
		callers.Remove(circuit(n))
	}
	callers.Remove(circuit(maxCallerCircuits)) // never put
	callers.Put(circuit(1<<16-1), 9)
	_, calls, err = OpenCallers(path)
	if err != nil || len(calls) != 2 || calls[circuit(0)] != 1 || calls[circuit(1<<16-1)] != 9 {
		t.Errorf("found %v, %v", calls, err)
	}
}
