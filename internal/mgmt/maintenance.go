package mgmt

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/maintenance"
)

// MaintenanceStatus is the answer of /ops/maintenance: the tier's requests as this softswitch knows them.
type MaintenanceStatus struct {
	Self       int                  `json:"self"`    // own number
	Recovered  bool                 `json:"settled"` // it takes requests and grants; else it has just started and is still asking
	Budget     int                  `json:"budget"`  // softswitches that may be out at once
	HoldsGrant bool                 `json:"holds"`   // it is out itself
	Queue      []MaintenanceRequest `json:"queue"`   // that wait, in their order
	Granted    []MaintenanceRequest `json:"out"`     // that are out
	Ended      []MaintenanceRequest `json:"over"`    // each one's last that is over
}

// MaintenanceRequest is one for a softswitch of the tier.
type MaintenanceRequest struct {
	Index       int       `json:"number"`
	Name        string    `json:"name"` // empty: not told yet
	Stage       string    `json:"stage"`
	RequestedAt time.Time `json:"asked"`
	Restarts    uint32    `json:"tries"`           // times that it had to begin again
	Slot        int       `json:"slot,omitempty"`  // that it is out by
	Epoch       uint64    `json:"epoch,omitempty"` // of that grant: a later one has a higher
}

// maintenance does what is asked of the tier's maintenance.
func (d *AdminServer) maintenance(method string, names []string) (status int, text string, allow []string) {
	f := d.Snapshot()
	if time.Since(f.At) > d.Limits.MaxStatsAge {
		return http.StatusServiceUnavailable, "no figures of late\n", nil
	}
	w := f.Maintenance
	if w == nil {
		return http.StatusNotFound, "ordered maintenance is off\n", nil
	}
	if method == http.MethodGet {
		return http.StatusOK, maintenanceJSON(*w), nil
	}
	if method != http.MethodPost && method != http.MethodDelete {
		return http.StatusMethodNotAllowed, "GET, POST or DELETE only\n", []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	}
	var members []int
	for _, name := range names {
		m := d.memberOf(*w, name)
		if m < 0 {
			return http.StatusNotFound, fmt.Sprintf("member: no softswitch %.40q in this tier\n", name), nil
		}
		members = append(members, m)
	}
	var ev maintenance.Event = maintenance.Request{Members: members}
	switch {
	case len(members) == 0:
		return http.StatusBadRequest, "member: missing; ?member=NAME, as often as needed\n", nil
	case method == http.MethodDelete:
		ev = maintenance.Cancel{Members: members}
	case !w.Recovered:
		return http.StatusServiceUnavailable, "just started, and still asking what the tier has granted\n", nil
	}
	if !d.order(core.MaintenanceRequest{Event: ev}) {
		return http.StatusServiceUnavailable, "too many orders wait\n", nil
	}
	d.Log.Info().Str("method", method).Ints("members", members).Msg("order of an operator: maintenance")
	return http.StatusAccepted, "", nil
}

// memberOf finds a softswitch by its name, its address among the peers or its number; -1: there is none.
func (d *AdminServer) memberOf(w core.MaintenanceStats, name string) int {
	if name == "" {
		return -1
	}
	if m := slices.Index(w.Names, name); m >= 0 {
		return m
	}
	if m := slices.Index(d.Peers.Addresses(), name); m >= 0 {
		return m
	}
	if m, err := strconv.Atoi(name); err == nil && m >= 0 && m < len(w.Records) {
		return m
	}
	return -1
}

func maintenanceJSON(w core.MaintenanceStats) string {
	m := MaintenanceStatus{Self: w.Self, Recovered: w.Recovered, Budget: w.Budget, HoldsGrant: w.Slot >= 0, Queue: []MaintenanceRequest{}, Granted: []MaintenanceRequest{}, Ended: []MaintenanceRequest{}}
	one := func(n int) MaintenanceRequest {
		e := w.Records[n]
		r := MaintenanceRequest{Index: n, Name: w.Names[n], Stage: e.Stage.String(), RequestedAt: time.UnixMilli(int64(e.RequestedAt)).UTC(), Restarts: e.Restarts}
		if e.Stage == maintenance.Draining || e.Stage == maintenance.Ready {
			r.Slot, r.Epoch = int(e.Slot), e.Epoch
		}
		return r
	}
	for _, n := range w.Queue {
		m.Queue = append(m.Queue, one(n))
	}
	for n, e := range w.Records {
		switch {
		case e.Stage == maintenance.Draining, e.Stage == maintenance.Ready:
			m.Granted = append(m.Granted, one(n))
		case e.Stage != maintenance.None && e.Stage.Ended():
			m.Ended = append(m.Ended, one(n))
		}
	}
	b, _ := json.Marshal(m)
	return string(b) + "\n"
}

// workText shows the figures of maintenance, one a line.
func workText(w core.MaintenanceStats) string {
	var b strings.Builder
	f := w.Counters
	out := 0
	for _, e := range w.Records {
		if e.Stage == maintenance.Draining || e.Stage == maintenance.Ready {
			out++
		}
	}
	for _, l := range []struct {
		name  string
		value uint64
	}{
		{"waiting", uint64(len(w.Queue))}, {"out", uint64(out)}, {"budget", uint64(w.Budget)},
		{"asked", f.Rounds}, {"granted", f.Granted}, {"renewed", f.Renewed}, {"lost", f.Expired}, {"yes", f.VotesGranted}, {"no", f.VotesRefused},
		{"sent", f.Sent}, {"sent_bytes", f.SentBytes}, {"dropped_garbled", f.Malformed}, {"dropped_version", f.VersionMismatches},
		{"dropped_stranger", f.UnknownSenders},
	} {
		fmt.Fprintf(&b, "app.maintenance.%s=%d\n", l.name, l.value)
	}
	return b.String()
}
