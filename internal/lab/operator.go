package lab

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"

	"elmseam/internal/maintenance"
	"elmseam/internal/mgmt"
)

// requestMaintenance requests maintenance of softswitches at an admin endpoint, or withdraws the requests. A request
// that is not accepted, for example because the softswitch has just started, is repeated for up to 10 s.
func (r *runner) requestMaintenance(action Action) {
	method := http.MethodPost
	if action.Withdraw {
		method = http.MethodDelete
	}
	names := url.Values{}
	for _, m := range r.membersAt(action.Members) {
		names.Add("member", m.name)
	}
	for deadline := r.now() + 10*time.Second; r.now() < deadline; time.Sleep(100 * time.Millisecond) {
		status, _ := r.members[action.Via].callAdmin(method, "/ops/maintenance?"+names.Encode())
		if status == http.StatusAccepted {
			return
		}
	}
	r.options.Log.Error().Str("via", r.members[action.Via].name).Msg("maintenance request not accepted")
}

// operateMaintenance records what a softswitch reports of its maintenance and plays the operator: when the softswitch is
// ready for maintenance, the operator works on it, in the background, for the scenario's work duration, and then
// releases it or restarts its process.
func (r *runner) operateMaintenance(m *member) {
	status, text := m.callAdmin(http.MethodGet, "/ops/maintenance")
	var maintenanceStatus mgmt.MaintenanceStatus
	if status != http.StatusOK || json.Unmarshal(text, &maintenanceStatus) != nil {
		return
	}
	grantIndex := slices.IndexFunc(maintenanceStatus.Granted,
		func(request mgmt.MaintenanceRequest) bool { return request.Index == m.index })
	granted := grantIndex >= 0 && maintenanceStatus.HoldsSlot
	ready := granted && maintenanceStatus.Granted[grantIndex].Stage == maintenance.StageReady.String()
	r.mu.Lock()
	r.tierChecker.RecordMaintenance(r.now(), m.index, granted, ready)
	start := ready && !m.underMaintenance && r.scenario.WorkDuration.Duration > 0
	m.underMaintenance = ready && (m.underMaintenance || start)
	r.mu.Unlock()
	if !start {
		return
	}
	go func() {
		select {
		case <-time.After(r.scenario.WorkDuration.Duration):
		case <-r.finished:
			return
		}
		if r.scenario.WorkMethod == "restart" {
			r.recordFault(m, "work", true)
			m.stop(syscall.SIGTERM, 5*time.Second)
			if err := r.launch(m); err != nil {
				r.options.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart failed")
			}
			r.waitReady([]*member{m})
			r.recordFault(m, "", false)
			return
		}
		m.callAdmin(http.MethodDelete, "/ops/maintenance?member="+m.name)
	}()
}
