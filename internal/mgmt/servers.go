package mgmt

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/core"
	"elmseam/internal/knowledge"
	"elmseam/internal/loop"
)

// ServersStatus is the answer of /ops/servers: what each member of the tier has reported of each server and how old the
// reports are, and which member holds which units of the budgets of cold servers.
type ServersStatus struct {
	Self    int            `json:"self"`    // index of this softswitch in its tier
	Servers []ServerStatus `json:"servers"` // in the order of the server list; empty also where knowledge is off
	AnyCold bool           `json:"active"`  // a server is cold, and members hold units of its budget
	Quotas  []Quota        `json:"parts"`   // by member; empty: the quotas are fixed
}

// ServerStatus is what this softswitch knows of one server in its list.
type ServerStatus struct {
	Name           string         `json:"name"`
	State          string         `json:"state"`             // ready, draining or gone
	DrainReported  bool           `json:"heard"`             // draining only by another member's newer list, not by this softswitch's list
	HoldBackShare  float64        `json:"share"`             // fraction of new set-ups to hold back, from all reports, 0 to 1
	MeanRate       float64        `json:"rate"`              // mean set-ups/s that the warm server takes from another member; 0: not known
	FailingShare   float64        `json:"failing"`           // share of the other members, by weight, that consider the server failing
	AllowedRate    float64        `json:"allowed,omitempty"` // rate allowed to a cold server by usable units, in set-ups/s of the warm server
	Reports        []MemberReport `json:"told"`              // the newest reports, by index of the member
	OmittedReports int            `json:"more,omitempty"`    // number of older reports that are not shown
}

// maxReportsShown limits the reports shown of each server. In a tier of hundreds of members all reports would take
// megabytes, and most of them are old.
const maxReportsShown = 64

// MemberReport is what one member has observed of a server.
type MemberReport struct {
	Index          int     `json:"number"`
	HoldBackShare  float64 `json:"share"`   // fraction of new set-ups that the server last asked this member to hold back, 0 to 1
	HoldBackAgeMS  *int64  `json:"shareMs"` // age of the hold-back share, in milliseconds; null: none received
	Rate           float64 `json:"rate"`    // set-ups per second that the server takes from this member when warm; 0: not known
	TotalLines     float64 `json:"lines"`   // lines that the server has; 0: not known
	FailureWeight  int     `json:"bad"`     // weight of the member's consecutive failed attempts
	MinSetUpTimeUS int64   `json:"floorUs"` // shortest set-up time, in microseconds; 0: no call was established yet
	Draining       bool    `json:"drains"`  // the member's list says that the server drains
	AgeMS          int64   `json:"ageMs"`   // age of the report, in milliseconds; 0: this softswitch's own
}

// Quota is one member's quota of the budgets of cold servers. A quota has budget.Units units.
type Quota struct {
	Index  int `json:"number"` // index of the member whose quota it is
	Usable int `json:"use"`    // units that this softswitch may use now
	Lent   int `json:"lent"`   // units that this softswitch has lent to other members; 0 if the quota is not its own

	// Holders are the members to which this softswitch has granted the units, by unit; -1: none. The first unit always
	// belongs to the member itself.
	Holders []int `json:"holders"`
}

// phaseNames are the states of a server as /ops/servers shows them.
var phaseNames = map[elmseam.Phase]string{elmseam.PhaseGone: "gone", elmseam.PhaseReady: "ready", elmseam.PhaseDraining: "draining"}

// serversJSON formats the answer of /ops/servers.
func serversJSON(snapshot loop.Snapshot) string {
	now := knowledge.Time(snapshot.At.UnixNano())
	ageMS := func(at knowledge.Time) int64 { return max(int64((now-at)/time.Millisecond), 0) }
	status := ServersStatus{Servers: []ServerStatus{}, Quotas: []Quota{}}
	if snapshot.Members != nil {
		status.Self = snapshot.Members.Self
	}
	if snapshot.Knowledge != nil {
		for _, knownServer := range snapshot.Knowledge.Servers {
			serverStatus := ServerStatus{Name: knownServer.Name, State: phaseNames[knownServer.Phase], DrainReported: knownServer.DrainReported,
				HoldBackShare: knownServer.View.HoldBackShare, MeanRate: knownServer.View.Rate,
				FailingShare: knownServer.View.FailingShare, AllowedRate: max(knownServer.ColdRate, 0), Reports: []MemberReport{}}
			newestReports := slices.SortedStableFunc(slices.Values(knownServer.Reports), func(a, b knowledge.ObserverEntry) int {
				return cmp.Compare(b.At, a.At)
			})
			serverStatus.OmittedReports = max(len(newestReports)-maxReportsShown, 0)
			newestReports = newestReports[:len(newestReports)-serverStatus.OmittedReports]
			slices.SortFunc(newestReports, func(a, b knowledge.ObserverEntry) int { return a.Observer - b.Observer })
			for _, observation := range newestReports {
				report := MemberReport{Index: observation.Observer, HoldBackShare: observation.HoldBackShare,
					Rate: observation.Rate, TotalLines: observation.TotalLines, FailureWeight: observation.FailureWeight,
					MinSetUpTimeUS: observation.MinSetUpTime.Microseconds(), Draining: observation.DrainingSince > 0, AgeMS: ageMS(observation.At)}
				if observation.HoldBackShareAt > 0 {
					age := ageMS(observation.HoldBackShareAt)
					report.HoldBackAgeMS = &age
				}
				serverStatus.Reports = append(serverStatus.Reports, report)
			}
			status.Servers = append(status.Servers, serverStatus)
		}
	}
	if snapshot.Quotas != nil {
		status.AnyCold = snapshot.Quotas.AnyCold
		for index, quota := range snapshot.Quotas.Quotas {
			quotaEntry := Quota{Index: index, Usable: quota.Usable.Count(), Lent: quota.Lent.Count()}
			for unit := range budget.Units {
				quotaEntry.Holders = append(quotaEntry.Holders, quota.Grants[unit].Holder)
			}
			status.Quotas = append(status.Quotas, quotaEntry)
		}
	}
	encoded, _ := json.Marshal(status)
	return string(encoded) + "\n"
}

// formatStatLines formats the values of a group as lines "app.GROUP.NAME=VALUE".
func formatStatLines(group string, values []statValue) string {
	var text strings.Builder
	for _, value := range values {
		fmt.Fprintf(&text, "app.%s.%s=%d\n", group, value.name, value.value)
	}
	return text.String()
}

// statValue is a counter or gauge and its name in /ops/stats.
type statValue struct {
	name  string
	value uint64
}

// knowledgeStatsText formats the counters of knowledge.
func knowledgeStatsText(stats core.KnowledgeStats) string {
	return formatStatLines("knowledge", []statValue{{"told", stats.EntriesSent}, {"heard", stats.EntriesReceived},
		{"stale", stats.Stale}, {"unlisted", stats.Unlisted}, {"asked", stats.QueriesSent},
		{"answered", stats.QueriesAnswered}, {"sent", stats.Sent}, {"sent_bytes", stats.SentBytes},
		{"dropped_garbled", stats.Malformed}, {"dropped_stranger", stats.UnknownSenders}})
}

// quotaStatsText formats the counters of the cold servers' quotas.
func quotaStatsText(stats core.QuotaStats) string {
	return formatStatLines("parts", []statValue{{"claims", stats.Claims}, {"granted", stats.Granted},
		{"inherited", stats.TakenOver}, {"expired", stats.Expired},
		{"borrowed", stats.Borrowed}, {"lent", stats.Lent}, {"yes", stats.VotesGranted}, {"no", stats.VotesRefused},
		{"sent", stats.Sent}, {"sent_bytes", stats.SentBytes},
		{"dropped_garbled", stats.Malformed}, {"dropped_stranger", stats.UnknownSenders}})
}
