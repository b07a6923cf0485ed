package elmseam_test

import (
	"fmt"
	"time"

	"elmseam"
)

// A softswitch with two servers: the first choice gets the call, refuses it for a full processor, and the call
// goes to the other server.
func Example() {
	c, err := elmseam.New(elmseam.Settings{
		Classes:            []elmseam.Class{{Aim: 2 * time.Second, Deadline: 9 * time.Second, Worth: 1}},
		ReportMetrics:      []elmseam.LoadMetric{elmseam.LoadMetricWait},
		MaxAttempts:        4,
		MaxRetryAfter:      2 * time.Second,
		OwnCell:            -1,
		RetransmitInterval: 500 * time.Millisecond,
		ReleaseGuard:       300 * time.Millisecond,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	c.Handle(now, elmseam.ListFull{Entries: []elmseam.ListEntry{
		{Server: 101, Cell: 1, Phase: elmseam.PhaseReady},
		{Server: 102, Cell: 2, Phase: elmseam.PhaseReady},
	}}, nil)
	show := func(actions []elmseam.Action) {
		for _, a := range actions {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	show(c.Handle(now, elmseam.Arrival{Call: 7, Cell: 1, TimeLeft: 3 * time.Second}, nil))
	now += 30 * time.Millisecond
	show(c.Handle(now, elmseam.Outcome{
		Call: 7, Server: 101, Cause: elmseam.CauseFull, Refusal: elmseam.RefusalProcessor,
	}, nil))
	// Output:
	// elmseam.Send{Call:7 Server:101 Timeout:0s}
	// elmseam.SetTimer{Token:7 At:1.3s}
	// elmseam.Send{Call:7 Server:102 Timeout:0s}
	// elmseam.SetTimer{Token:7 At:1.33s}
}
