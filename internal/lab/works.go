package lab

import "time"

// MaintenanceRun is one time that a softswitch was out for work. Times are since the start of the run; negative: it did not come to
// that.
type MaintenanceRun struct {
	Softswitch string        `json:"softswitch"`
	OutAt      time.Duration `json:"out_ns"`   // it sends its callers away
	ReadyAt    time.Duration `json:"ready_ns"` // nothing is left on it
	BackAt     time.Duration `json:"back_ns"`  // it holds its slot no more
	place      int
}

// RecordMaintenance takes in what a softswitch says of itself: that it is out, and ready for work.
func (w *TierChecker) RecordMaintenance(at time.Duration, place int, out, ready bool) {
	var last *MaintenanceRun
	for _, v := range w.works {
		if v.place == place && v.BackAt < 0 {
			last = v
		}
	}
	if out && last == nil {
		last = &MaintenanceRun{Softswitch: MemberName(place), OutAt: at, ReadyAt: -1, BackAt: -1, place: place}
		w.works = append(w.works, last)
	}
	if last == nil {
		return
	}
	if ready && last.ReadyAt < 0 {
		last.ReadyAt = at
	}
	if !out {
		last.BackAt = at
	}
}

// CheckMaintenanceBudget judges how many softswitches are out for work, by their readiness as it is seen from outside. Those that the lab itself
// hinders, or has just ceased to, are not counted; one that the lab's operator works on is.
func (w *TierChecker) CheckMaintenanceBudget(at time.Duration, budget int, unready func(place int) bool) {
	out := 0
	for place := range w.views {
		switch {
		case w.hindered[place] && !w.atWork(place):
		case !w.hindered[place] && w.freed[place] >= 0 && at < w.freed[place]+aftermath && !w.atWork(place):
		case unready(place):
			out++
		}
	}
	if out > budget {
		w.broke("more out than the budget", at, "%d of at most %d are not ready", out, budget)
	}
	w.mostOut = max(w.mostOut, out)
}

// atWork says whether the last trouble of a softswitch is its operator's, and not over.
func (w *TierChecker) atWork(place int) bool {
	for i := len(w.detections) - 1; i >= 0; i-- {
		if d := w.detections[i]; d.place == place {
			return d.Kind == "work" && d.Ended < 0
		}
	}
	return false
}

// CheckMaintained judges that each of some softswitches has been ready for work exactly once, and is back.
func (w *TierChecker) CheckMaintained(at time.Duration, places []int) {
	for _, place := range places {
		ready, back := 0, true
		for _, v := range w.works {
			if v.place == place && v.ReadyAt >= 0 {
				ready++
				back = v.BackAt >= 0
			}
		}
		if ready != 1 || !back {
			w.broke("not maintained once", at, "%s was ready for work %d times, and is back: %t", MemberName(place), ready, back)
		}
	}
}
