package core

import (
	"testing"
	"time"

	"elmseam"
)

// A connection that brings nothing is held for dead only where something is owed on it: a set-up that has been out for long
// ends, one that has just gone out is left alone, a server whose calls stand is asked on a new connection, and one that has
// nothing to tell keeps its connection. It was closed by its reader's own clock, with whatever was out there.
func TestSilenceCountsWhereSomethingIsOwed(t *testing.T) {
	r := newRig(t)
	r.dials = true
	silent := ServerSilent{Server: "a", Link: 10, For: time.Second}
	r.want(r.step(silent), "")
	r.want(r.setUp(1, 5*time.Second), "offer1@10 ")
	r.pass(400 * ms)
	r.want(r.step(silent), "")
	r.want(r.step(ServerSilent{Server: "a", Link: 99, For: time.Second}), "")
	r.pass(200 * ms)
	r.want(r.step(silent), "hangup@10 ")
	r.want(r.step(ServerDown{Server: "a", Link: 10}), "")
	r.want(r.pass(201*ms), "dial-a offer1@11 ") // after the release gap
	r.step(ServerAnswer{Server: "b", ID: 1})
	r.want(r.step(ServerSilent{Server: "b", Link: 11, For: time.Second}), "close@11 dial-b ")
	r.want(r.step(ServerSilent{Server: "b", Link: 11, For: time.Second}), "")
	r.step(ServerUp{Server: "b", Address: "b:1", Link: 12})
	r.want(r.step(ServerEnd{Server: "b", Link: 12, ID: 1, Reason: Normal}), "released1@1 ")
	r.want(r.step(ServerSilent{Server: "b", Link: 12, For: time.Second}), "")
}

// A call's tenant is looked up by its name as the call comes, under the settings of then: an index given by a front would
// be another tenant's after a new configuration.
func TestTenantIsBoundAtArrival(t *testing.T) {
	r := newRig(t)
	var heard []int
	r.c.hook.Deaf = func(ev elmseam.Event) bool {
		if a, ok := ev.(elmseam.Arrival); ok {
			heard = append(heard, a.Tenant)
		}
		return false
	}
	set := elmseam.Settings{
		Classes: []elmseam.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 4, OwnCell: -1,
		Tenants: []elmseam.Tenant{{Name: "x", Allowance: 1}, {Name: "y", Allowance: 1}}, OverShareWorth: 0.1,
	}
	ask := func(id ID, tenant string) {
		r.step(SetUp{ID: id, From: 1, Tenant: tenant, Left: 5 * time.Second, At: r.now})
	}
	ask(1, "x")
	r.step(Configured{Settings: set, Limits: r.c.limits})
	ask(2, "x")
	ask(3, "y")
	ask(4, "z")
	ask(5, "")
	set.Tenants = []elmseam.Tenant{{Name: "y", Allowance: 1}}
	r.step(Configured{Settings: set, Limits: r.c.limits})
	ask(6, "x")
	ask(7, "y")
	for i, want := range []int{-1, 0, 1, -1, -1, -1, 0} {
		if heard[i] != want {
			t.Errorf("call %d comes as tenant %d, want %d", i+1, heard[i], want)
		}
	}
}
