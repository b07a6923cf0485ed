package core

import (
	"testing"
	"time"
)

// TestWaitingReleaseLostInHandOver guards against calls that never end for their callers: releases that waited for a connection when a
// hand-over began waited on, although all callers connect to the successor from then on.
func TestWaitingReleaseLostInHandOver(t *testing.T) {
	h := newRestartedHarness(t)
	h.core.limits.HandOverGrace = 100 * ms
	count := 2*maxReleasesPerFlush + 1
	h.core.limits.MaxCallerReleases = count
	for id := ID(1); id <= ID(count); id++ {
		h.step(ServerEnd{Server: "a", Conn: 10, ID: id, Reason: ReasonNormal})
	}
	h.step(CallerUp{Conn: 2, Protocol: "m"})
	if sent := countEffects(h.step(HandOver{})+h.advance(80*ms), "to-successor"); sent != count {
		t.Errorf("%d releases go to the successor, want %d", sent, count)
	}
	h.wantEffects(h.advance(100*ms), "stopped ")
}

// TestReleaseForwardedToDyingPredecessorLost guards against releases that are lost because they were forwarded to a predecessor that ended
// before it handled them. Those that it handled are not sent again.
func TestReleaseForwardedToDyingPredecessorLost(t *testing.T) {
	h := newRestartedHarness(t)
	h.step(CallerUp{Conn: 2, Protocol: "f", Used: true})
	h.step(Predecessor{Present: true, Transferring: true})
	h.step(ServerEnd{Server: "a", Conn: 10, ID: 95, Reason: ReasonNormal})
	h.step(CallerEnd{ID: 96, From: 2})
	h.advance(10 * time.Second) // the predecessor has handled these
	for id := ID(97); id <= 99; id++ {
		h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: id, Reason: ReasonNormal}), "to-predecessor ")
	}
	h.wantEffects(h.step(CallerEnd{ID: 100, From: 2})+h.step(CallerEnd{ID: 101, From: 2}), "to-predecessor to-predecessor ")
	h.wantEffects(h.step(Relayed{Protocol: "f", Conn: 2, Effect: Released{ID: 97}}), "released97@2 ")
	h.step(EndedCalls{IDs: []ID{98, 101}})
	h.wantEffects(h.step(Predecessor{}), "released99@2 end100@10 end100@11 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal}), "")
	h.wantEffects(h.step(Predecessor{}), "")
}
