package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
	"time"

	"elmseam"
)

// decodeHex decodes words of hex digits, separated by spaces; the word +N stands for N zero bytes.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		if strings.HasPrefix(word, "+") {
			n := 0
			for _, d := range word[1:] {
				n = 10*n + int(d-'0')
			}
			out = append(out, make([]byte, n)...)
			continue
		}
		b, err := hex.DecodeString(word)
		if err != nil {
			t.Fatalf("invalid hex %q: %v", word, err)
		}
		out = append(out, b...)
	}
	return out
}

// Inputs of several tests.
const (
	// exampleBatch, in the notation of decodeHex, has five events: select instance 3, a call arrives, a timer fires, select
	// instance 5, and a caller gives up.
	exampleBatch = "0c000000 f0000000 05000000 5a5c800000000000" +
		" 19 0300 +45" +
		" 12 c4913a5d 0000 00009644 640ad2557c3bf091 00000000 0100 80a90300 e02e0000 00008043 00006442 +7" +
		" 15 4d000000 +43" +
		" 19 0500 +45" +
		" 18 192b6f0e +43"
	validSettings = `{"request-classes": [{"effect": "free", "objective-us": 2000000, "hard-limit-us": 9000000,
		"gain": 1, "name": "a"}], "limits": {"max-attempts": 4, "retry-after": true, "max-retry-after-us": 2000000},
		"load-report": {"columns": ["spare", "total", "recent_ms", "new-thing"], "via": "inline"},
		"some-new-key": {"a": [1]}, "family-info": {"own-number": -1, "release-guard-us": 300000}}`
)

// TestReadBatch checks the header of an example batch and one of its arrivals.
func TestReadBatch(t *testing.T) {
	batch, err := ReadBatch(bytes.NewReader(decodeHex(t, exampleBatch)))
	if err != nil {
		t.Fatal(err)
	}
	if batch.Seq != 12 || batch.Len() != 5 || batch.Clock != 0x805c5a {
		t.Errorf("batch %d of %d records at %d", batch.Seq, batch.Len(), batch.Clock)
	}
	got := decodeArrival(batch.record(1))
	want := elmseam.Arrival{
		Call: 0x5d3a91c4, Number: 0x91f03b7c55d20a64, TimeLeft: 240 * time.Millisecond, Cell: 57,
	}
	if got != want {
		t.Errorf("arrival %+v, want %+v", got, want)
	}
}

// TestDecodeEvents checks the decoding of example records of the events for a controller, arrivals excepted.
func TestDecodeEvents(t *testing.T) {
	host := NewHost()
	host.serverLists[0] = decodeListEntries(decodeHex(t, "0a124a07 2b23 00 00 0000 01 0000803f 0000000000000000"+
		" 0a9011f2 5423 01 00 0000 02 0000c03f 20145d0000000000"))
	server := decodeServerID(decodeHex(t, "0a124a07 2b23"))
	tests := []struct {
		name string
		rec  string
		want func(elmseam.Event) bool
	}{
		{"established", "17 c4913a5d 0a124a07 2b23 00 22240000 +32", func(event elmseam.Event) bool {
			return event == elmseam.Established{Call: 0x5d3a91c4, Server: server, SetUpTime: 9250 * time.Microsecond}
		}},
		{"outcome", "14 c4913a5d 01 00 44480000 00000000 0a 0a124a07 2b23 03 cdcccc3e 0000a03f 00000c43 00000000 +9",
			func(event elmseam.Event) bool {
				outcome := event.(elmseam.Outcome)
				return outcome.Final && outcome.Cause == elmseam.CauseEnded && outcome.Server == server && len(outcome.Report) == 3 && outcome.Report[2] == 140
			}},
		{"processor full for 500 ms", "14 c4913a5d 00 00 44480000 431f0000 1e 0a124a07 2b23 00 +25", func(event elmseam.Event) bool {
			outcome := event.(elmseam.Outcome)
			return outcome.Refusal == elmseam.RefusalProcessor && outcome.Wait == 500*time.Millisecond && !outcome.Final
		}},
		{"health", "10 0a9011f2 5423 0a 78050000 03 cdcccc3e 0000a03f 00000c43 00000000 +19", func(event elmseam.Event) bool {
			return event.(elmseam.Health).OK
		}},
		{"list", "16 29000000 00000000 02 +38", func(event elmseam.Event) bool {
			list := event.(elmseam.ListFull)
			return list.Cached && len(list.Entries) == 2 && list.Entries[1].Phase == elmseam.PhaseDraining &&
				list.Entries[1].Started == 6100000*time.Microsecond
		}},
		{"caller gone", "18 192b6f0e +43", func(event elmseam.Event) bool { return event == elmseam.CallerGone{Call: 0x0e6f2b19} }},
		{"timer fired", "15 4d000000 +43", func(event elmseam.Event) bool { return event == elmseam.TimerFired{Token: 77} }},
	}
	for _, tt := range tests {
		event, err := host.decodeEvent(decodeHex(t, tt.rec))
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
		} else if !tt.want(event) {
			t.Errorf("%s: decoded as %+v", tt.name, event)
		}
	}
}

// TestEncodeActions checks the bytes of a reply with actions of two instances.
func TestEncodeActions(t *testing.T) {
	host := NewHost()
	host.currentInstance = 3
	host.encodeAction(elmseam.Send{Call: 0x5d3a91c4, Server: decodeServerID(decodeHex(t, "0a124a07 2b23")), Timeout: 80 * time.Millisecond})
	host.encodeAction(elmseam.SetTimer{Token: 77, At: 0x87fd7a * time.Microsecond})
	host.currentInstance = 5
	host.encodeAction(elmseam.Refuse{Call: 0x0e6f2b19, RetryAfter: 250 * time.Millisecond})
	host.encodeAction(elmseam.Fail{Call: 0x5d3a91c4})
	host.encodeAction(elmseam.Cancel{Call: 0x5d3a91c4, Attempt: 2})
	host.encodeAction(elmseam.Subscribe{})
	var out bytes.Buffer
	if err := host.reply.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, "0c000000 08000000 80000000 10 0300 +13 11 c4913a5d 0a124a07 2b23 80380100 +1"+
		" 12 4d000000 7afd870000000000 +3 10 0500 +13 1a 192b6f0e 90d00300 +7 14 c4913a5d +11"+
		" 15 c4913a5d 02 +10 18 01 +14")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x", out.Bytes(), want)
	}
}

// startBatch returns a batch that starts instance 3 with the given settings.
func startBatch(settingsText string) []byte {
	var batch []byte
	putUint32 := func(n uint32) { batch = byteOrder.AppendUint32(batch, n) }
	putUint32(1)
	putUint32(uint32(2*eventRecordSize + len(settingsText)))
	putUint32(2)
	batch = byteOrder.AppendUint64(batch, 1000000)
	batch = append(batch, eventSelectInstance, 3, 0)
	batch = append(batch, make([]byte, eventRecordSize-3)...)
	startRecord := make([]byte, eventRecordSize)
	startRecord[0] = eventStarted
	byteOrder.PutUint32(startRecord[13:], uint32(len(settingsText)))
	return append(append(batch, startRecord...), settingsText...)
}

// TestStartChecksSettings checks that invalid settings fail the instance with a reason, and that unknown keys are ignored.
func TestStartChecksSettings(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"valid", validSettings, ""},
		{"not JSON", "hello", "settings"},
		{"no class", "{}", "no class"},
		{"unknown effect", `{"request-classes": [{"effect": "odd"}]}`, "effect"},
		{"negative time", `{"request-classes": [{"effect": "free", "objective-us": -1}]}`, "Aim"},
		{"unknown columns alone", `{"request-classes": [{}], "load-report": {"columns": ["x"], "via": "inline"}}`, "Report"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		if err := NewHost().Serve(bytes.NewReader(startBatch(tt.text)), &out, func() error { return nil }); err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		failed := bytes.Contains(out.Bytes(), []byte{actionInstanceFailed})
		if failed != (tt.want != "") || !bytes.Contains(out.Bytes(), []byte(tt.want)) {
			t.Errorf("%s: reply %q, want a failure that contains %q (no failure if empty)", tt.name, out.Bytes(), tt.want)
		}
	}
}

// TestInvalidFrames checks that malformed input ends Serve with an error that says where the fault is, and that empty
// input ends Serve without an error.
func TestInvalidFrames(t *testing.T) {
	validFrame := decodeHex(t, exampleBatch)
	listBeyondTail := append(decodeHex(t, "01000000 30000000 01000000 +8"), decodeHex(t, "13 00000000 00000000 ffffff7f +35")...)
	tests := []struct {
		name  string
		input []byte
		want  string // part of the error; empty: no error
	}{
		{"empty input", nil, ""},
		{"header cut short", validFrame[:7], "header"},
		{"record cut short", validFrame[:batchHeaderSize+eventRecordSize+5], "batch 12 record 1"},
		{"claims 4 GB", decodeHex(t, "01000000 ffffffff 00000000 +8"), "cut short"},
		{"more records than bytes", decodeHex(t, "01000000 30000000 ffffff00 +8 +48"), "do not fit"},
		{"list beyond the tail", listBeyondTail, "batch 1 record 0"},
		{"list number too high", append(decodeHex(t, "01000000 30000000 01000000 +8"), decodeHex(t, "13 10000000 +43")...), "list 16"},
		{"unknown event code", append(decodeHex(t, "01000000 30000000 01000000 +8"), decodeHex(t, "63 +47")...), "code 99"},
		{"update without a list", append(decodeHex(t, "01000000 30000000 01000000 +8"), decodeHex(t, "16 +47")...), "no list 0"},
	}
	for _, tt := range tests {
		err := NewHost().Serve(bytes.NewReader(tt.input), io.Discard, func() error { return nil })
		switch {
		case tt.want == "" && err != nil:
			t.Errorf("%s: %v", tt.name, err)
		case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
			t.Errorf("%s: error %v, want an error that contains %q", tt.name, err, tt.want)
		}
	}
}

// TestKillAndStartInOneBatch checks that an instance that is killed and started again within one batch gets a new
// controller, without the state of the earlier one.
func TestKillAndStartInOneBatch(t *testing.T) {
	host := NewHost()
	if err := host.Serve(bytes.NewReader(startBatch(validSettings)), io.Discard, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	before := host.controllers[3]
	frame := startBatch(validSettings)
	killRecord := make([]byte, eventRecordSize)
	killRecord[0] = eventKilled
	insertAt := batchHeaderSize + eventRecordSize
	frame = append(frame[:insertAt:insertAt], append(killRecord, frame[insertAt:]...)...)
	byteOrder.PutUint32(frame[4:], byteOrder.Uint32(frame[4:])+eventRecordSize)
	byteOrder.PutUint32(frame[8:], 3)
	if err := host.Serve(bytes.NewReader(frame), io.Discard, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if after := host.controllers[3]; after == nil || after == before {
		t.Error("the instance kept its controller across the restart")
	}
}

// TestPanicReportsFailure checks that a panic in the decision module is reported as an instance failure with the panic's text.
func TestPanicReportsFailure(t *testing.T) {
	host := NewHost()
	host.currentInstance = 3
	host.controllers[3] = new(elmseam.Controller) // not made by New, so that it panics for lack of settings
	host.members[3] = &member{}
	frame := decodeHex(t, "01000000 60000000 02000000 +8 19 0300 +45 12 +47")
	var out bytes.Buffer
	if err := host.Serve(bytes.NewReader(frame), &out, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("panic: ")) || host.controllers[3] != nil || host.members[3] != nil {
		t.Errorf("reply %q, want the text of the panic and the end of the instance", out.Bytes())
	}
}

// FuzzServe checks that no input makes Serve panic or loop endlessly.
func FuzzServe(f *testing.F) {
	f.Add(decodeHex(f, exampleBatch))
	f.Add(startBatch(validSettings))
	f.Add(decodeHex(f, "01000000 00000000 00000000 5a5c800000000000"))
	f.Add(append(startBatch(validSettings), decodeHex(f, exampleBatch)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		// Malformed input may give an error, but neither a panic nor an endless loop.
		_ = NewHost().Serve(bytes.NewReader(input), io.Discard, func() error { return nil })
	})
}
