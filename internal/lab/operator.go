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
	query := url.Values{}
	for _, m := range r.membersAt(action.Members) {
		query.Add("member", m.name)
	}
	for deadline := r.now() + 10*time.Second; r.now() < deadline; time.Sleep(100 * time.Millisecond) {
		status, _ := r.members[action.Via].sendAdminRequest(method, "/ops/maintenance?"+query.Encode())
		if status == http.StatusAccepted {
			return
		}
	}
	r.options.Log.Error().Str("via", r.members[action.Via].name).Msg("maintenance request not accepted")
}

// operateMaintenance records what a softswitch reports of its maintenance and plays the operator: when the softswitch is
// ready for maintenance, the operator works on it, in the background, for the scenario's work duration, and then
// releases it or restarts its process.
func (r *runner) operateMaintenance(softswitch *member) {
	status, text := softswitch.sendAdminRequest(http.MethodGet, "/ops/maintenance")
	var maintenanceStatus mgmt.MaintenanceStatus
	if status != http.StatusOK || json.Unmarshal(text, &maintenanceStatus) != nil {
		return
	}
	grantIndex := slices.IndexFunc(maintenanceStatus.Granted,
		func(request mgmt.MaintenanceRequest) bool { return request.Index == softswitch.index })
	slotGranted := grantIndex >= 0 && maintenanceStatus.HoldsSlot
	readyForWork := slotGranted && maintenanceStatus.Granted[grantIndex].Stage == maintenance.StageReady.String()
	r.mu.Lock()
	r.tierChecker.RecordMaintenance(r.now(), softswitch.index, slotGranted, readyForWork)
	beginsWork := readyForWork && !softswitch.underMaintenance && r.scenario.WorkDuration.Duration > 0
	softswitch.underMaintenance = readyForWork && (softswitch.underMaintenance || beginsWork)
	r.mu.Unlock()
	if !beginsWork {
		return
	}
	r.background.Go(func() {
		select {
		case <-time.After(r.scenario.WorkDuration.Duration):
		case <-r.finished:
			return
		}
		if r.scenario.WorkMethod == "restart" {
			r.recordFault(softswitch, "work", true)
			softswitch.stopProcess(syscall.SIGTERM, 5*time.Second)
			if err := r.launch(softswitch); err != nil {
				r.options.Log.Error().Err(err).Str("softswitch", softswitch.name).Msg("restart failed")
			}
			r.waitReady([]*member{softswitch})
			r.recordFault(softswitch, "", false)
			return
		}
		softswitch.sendAdminRequest(http.MethodDelete, "/ops/maintenance?member="+softswitch.name)
	})
}
