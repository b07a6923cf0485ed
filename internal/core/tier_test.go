package core

import (
	"strings"
	"testing"
	"time"

	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

func (r *rig) join(tier int) {
	r.step(Join{Config: membership.Config{Tier: tier, Limits: membership.Defaults(), Seed: 1}})
}

// A softswitch that hears of nobody in its tier sends a just-started server the share of its own part that it sees of
// the tier: a fifth. One that is alone in its tier, or knows of none, sends its whole part.
func TestAloneItSparesAColdServer(t *testing.T) {
	sent := func(tier int) (n int) {
		r := newRig(t)
		if tier > 0 {
			r.join(tier)
		}
		id := ID(0)
		serve := func(span time.Duration) (cold int) {
			for end := r.now + span; r.now < end; r.pass(5 * ms) {
				id++
				said := r.setUp(id, 5*time.Second)
				for server, link := range map[string]string{"a": "@10 ", "b": "@11 "} {
					if strings.Contains(said, link) {
						r.step(ServerAnswer{Server: server, ID: id})
						r.step(ServerEnd{Server: server, ID: id, Reason: Normal})
						if server == "a" {
							cold++
						}
					}
				}
			}
			return cold
		}
		serve(10 * time.Second) // at a rate that both know
		r.step(List{Servers: []Server{{Name: "a", Address: "a:1", Phase: 1, Started: r.now}}})
		r.step(ServerUp{Server: "a", Address: "a:1", Link: 10})
		return serve(2 * time.Second)
	}
	none, alone, cut := sent(0), sent(1), sent(5)
	if alone != none || none < 50 || cut > none/3 || cut == 0 {
		t.Errorf("to a cold server went %d without a tier, %d alone in one, %d cut off from four others", none, alone, cut)
	}
}

// When its turn for work has come it drains as for an operator; when nothing is left it is ready for work, and an operator
// who takes its callers back has ended that. A drain by hand stays when the work is over.
func TestOutForWork(t *testing.T) {
	r := newRig(t)
	r.drainable()
	r.join(1)
	limits := maintenance.Defaults()
	r.step(Plan{Config: maintenance.Config{Tier: 1, Zone: -1, Limits: limits, Seed: 1}})
	stage := func() maintenance.Stage { return r.c.Figures(r.now).Work.Records[0].Stage }
	r.setUp(7, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 7})
	r.step(Order{Event: maintenance.Request{Members: []int{0}}})
	if f := r.c.Figures(r.now); f.Ready || !f.Draining || stage() != maintenance.Out {
		t.Errorf("its turn has come: %+v, %v", f, stage())
	}
	r.pass(3 * time.Second)
	if stage() != maintenance.Out { // a call stands
		t.Errorf("with a call that stands it is %v", stage())
	}
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "released7@1 ")
	if stage() != maintenance.Ready {
		t.Errorf("with nothing left it is %v", stage())
	}
	r.step(Drain{})
	if f := r.c.Figures(r.now); !f.Ready || f.Draining || stage() != maintenance.Done {
		t.Errorf("taken back: %+v, %v", f, stage())
	}
	r.step(Drain{On: true})
	r.step(Order{Event: maintenance.Request{Members: []int{0}}})
	r.pass(3 * time.Second)
	r.step(Order{Event: maintenance.Cancel{Members: []int{0}}})
	if f := r.c.Figures(r.now); !f.Draining || stage() != maintenance.Done {
		t.Errorf("drained by hand all along: %+v, %v", f, stage())
	}
}
