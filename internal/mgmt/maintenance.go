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

// MaintenanceStatus is the answer of /ops/maintenance: the tier's maintenance requests that this softswitch knows.
type MaintenanceStatus struct {
	Self      int                  `json:"self"`    // index of this softswitch in its tier
	Recovered bool                 `json:"settled"` // accepts requests and votes on grants; false: newly started, still asking the tier
	Budget    int                  `json:"budget"`  // max. members out for maintenance at the same time
	HoldsSlot bool                 `json:"holds"`   // this softswitch is out for maintenance itself
	Queue     []MaintenanceRequest `json:"queue"`   // waiting requests, in the order in which they will be granted
	Granted   []MaintenanceRequest `json:"out"`     // granted requests: their members are out for maintenance
	Ended     []MaintenanceRequest `json:"over"`    // ended requests, the last one of each member
}

// MaintenanceRequest is a maintenance request for one member of the tier.
type MaintenanceRequest struct {
	Index       int       `json:"number"`
	Name        string    `json:"name"` // empty: not yet known
	Stage       string    `json:"stage"`
	RequestedAt time.Time `json:"asked"`
	Restarts    uint32    `json:"tries"`           // how often the request was started again
	Slot        int       `json:"slot,omitempty"`  // number of the granted slot
	Epoch       uint64    `json:"epoch,omitempty"` // epoch of the grant; later grants have higher epochs
}

// handleMaintenance carries out a request to /ops/maintenance: GET shows the status, POST requests maintenance of the
// members with the given names (see memberIndex), DELETE cancels or ends it. A POST is refused while this softswitch is
// newly started. The results are those of handleRequest.
func (s *AdminServer) handleMaintenance(method string, memberNames []string) (status int, text string, allow []string) {
	snapshot := s.Snapshot()
	if time.Since(snapshot.At) > s.Limits.MaxStatsAge {
		return http.StatusServiceUnavailable, "no figures of late\n", nil
	}
	stats := snapshot.Maintenance
	if stats == nil {
		return http.StatusNotFound, "ordered maintenance is off\n", nil
	}
	if method == http.MethodGet {
		return http.StatusOK, maintenanceJSON(*stats), nil
	}
	if method != http.MethodPost && method != http.MethodDelete {
		return http.StatusMethodNotAllowed, "GET, POST or DELETE only\n", []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	}
	var members []int
	for _, name := range memberNames {
		index := s.memberIndex(*stats, name)
		if index < 0 {
			return http.StatusNotFound, fmt.Sprintf("member: no softswitch %.40q in this tier\n", name), nil
		}
		members = append(members, index)
	}
	var event maintenance.Event = maintenance.Request{Members: members}
	switch {
	case len(members) == 0:
		return http.StatusBadRequest, "member: missing; ?member=NAME, as often as needed\n", nil
	case method == http.MethodDelete:
		event = maintenance.Cancel{Members: members}
	case !stats.Recovered:
		return http.StatusServiceUnavailable, "just started, and still asking what the tier has granted\n", nil
	}
	if !s.enqueueOrder(core.MaintenanceRequest{Event: event}) {
		return http.StatusServiceUnavailable, "too many orders wait\n", nil
	}
	s.Log.Info().Str("method", method).Ints("members", members).Msg("operator order: maintenance")
	return http.StatusAccepted, "", nil
}

// memberIndex returns the index of the member with the given name, peer address or index, in this order of precedence;
// -1: no such member.
func (s *AdminServer) memberIndex(stats core.MaintenanceStats, name string) int {
	if name == "" {
		return -1
	}
	if index := slices.Index(stats.Names, name); index >= 0 {
		return index
	}
	if index := slices.Index(s.TierSocket.Addresses(), name); index >= 0 {
		return index
	}
	if index, err := strconv.Atoi(name); err == nil && index >= 0 && index < len(stats.Records) {
		return index
	}
	return -1
}

// maintenanceJSON formats the answer of /ops/maintenance.
func maintenanceJSON(stats core.MaintenanceStats) string {
	status := MaintenanceStatus{Self: stats.Self, Recovered: stats.Recovered, Budget: stats.Budget,
		HoldsSlot: stats.Slot >= 0, Queue: []MaintenanceRequest{}, Granted: []MaintenanceRequest{},
		Ended: []MaintenanceRequest{}}
	requestForMember := func(index int) MaintenanceRequest {
		record := stats.Records[index]
		request := MaintenanceRequest{Index: index, Name: stats.Names[index], Stage: record.Stage.String(),
			RequestedAt: time.UnixMilli(int64(record.RequestedAt)).UTC(), Restarts: record.Restarts}
		if record.Stage == maintenance.StageDraining || record.Stage == maintenance.StageReady {
			request.Slot, request.Epoch = int(record.Slot), record.Epoch
		}
		return request
	}
	for _, index := range stats.Queue {
		status.Queue = append(status.Queue, requestForMember(index))
	}
	for index, record := range stats.Records {
		switch {
		case record.Stage == maintenance.StageDraining, record.Stage == maintenance.StageReady:
			status.Granted = append(status.Granted, requestForMember(index))
		case record.Stage != maintenance.StageNone && record.Stage.Ended():
			status.Ended = append(status.Ended, requestForMember(index))
		}
	}
	encoded, _ := json.Marshal(status)
	return string(encoded) + "\n"
}

// maintenanceStatsText formats the counters of maintenance as lines "app.maintenance.NAME=VALUE".
func maintenanceStatsText(stats core.MaintenanceStats) string {
	var text strings.Builder
	counters := stats.Counters
	granted := 0
	for _, record := range stats.Records {
		if record.Stage == maintenance.StageDraining || record.Stage == maintenance.StageReady {
			granted++
		}
	}
	for _, line := range []struct {
		name  string
		value uint64
	}{
		{"waiting", uint64(len(stats.Queue))}, {"out", uint64(granted)}, {"budget", uint64(stats.Budget)},
		{"asked", counters.Rounds}, {"granted", counters.Granted}, {"renewed", counters.Renewed},
		{"lost", counters.Expired}, {"yes", counters.VotesGranted}, {"no", counters.VotesRefused},
		{"sent", counters.Sent}, {"sent_bytes", counters.SentBytes}, {"dropped_garbled", counters.Malformed},
		{"dropped_version", counters.VersionMismatches},
		{"dropped_stranger", counters.UnknownSenders},
	} {
		fmt.Fprintf(&text, "app.maintenance.%s=%d\n", line.name, line.value)
	}
	return text.String()
}
