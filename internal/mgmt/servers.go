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

// ServersStatus is the answer of /ops/servers: what the tier knows of each server, by whom and how old, and who holds which part
// of the budgets of those that are cold.
type ServersStatus struct {
	Self    int            `json:"self"`    // own number
	Servers []ServerStatus `json:"servers"` // as listed; none where knowledge is off
	AnyCold bool           `json:"active"`  // a server is cold, and parts of its budget are held
	Quotas  []Quota        `json:"parts"`   // by member; none where they don't move
}

// ServerStatus is one of the own list.
type ServerStatus struct {
	Name           string         `json:"name"`
	State          string         `json:"state"`             // ready, draining or gone
	DrainReported  bool           `json:"heard"`             // it is held for draining by a peer's newer list alone
	HoldBackShare  float64        `json:"share"`             // of new set-ups to be held back, of all that is known
	MeanRate       float64        `json:"rate"`              // set-ups a second that another softswitch takes from there, on the mean
	FailingShare   float64        `json:"failing"`           // share of the others' weight that holds it for failing
	AllowedRate    float64        `json:"allowed,omitempty"` // while it is cold: set-ups a second of a warm one that may be used here
	Reports        []MemberReport `json:"told"`              // the newest, by number
	OmittedReports int            `json:"more,omitempty"`    // others that have told, and aren't shown
}

// toldShown are the entries shown of a server: in a tier of hundreds all of them are megabytes, and most are old.
const maxReportsShown = 64

// MemberReport is what one softswitch has seen of a server.
type MemberReport struct {
	Index          int     `json:"number"`
	HoldBackShare  float64 `json:"share"`
	HoldBackAgeMS  *int64  `json:"shareMs"` // age of that report, in milliseconds; null: none came
	Rate           float64 `json:"rate"`
	Lines          float64 `json:"lines"`
	FailureWeight  int     `json:"bad"`
	MinSetUpTimeUS int64   `json:"floorUs"` // shortest set-up time, in microseconds; 0: none stood yet
	Draining       bool    `json:"drains"`
	AgeMS          int64   `json:"ageMs"` // it was so then; 0: the own
}

// Quota is one softswitch's part of cold servers' budgets, in eighths.
type Quota struct {
	Index   int   `json:"number"`
	Usable  int   `json:"use"`     // eighths that this softswitch may use
	Lent    int   `json:"lent"`    // of its own, to others
	Holders []int `json:"holders"` // by eighth, as this one has granted them; -1: nobody, the first is the owner's
}

var phaseNames = map[elmseam.Phase]string{elmseam.Gone: "gone", elmseam.Ready: "ready", elmseam.Draining: "draining"}

// serversJSON shows what the tier knows.
func serversJSON(snapshot loop.Snapshot) string {
	now := knowledge.Time(snapshot.At.UnixNano())
	ageMS := func(at knowledge.Time) int64 { return max(int64((now-at)/time.Millisecond), 0) }
	status := ServersStatus{Servers: []ServerStatus{}, Quotas: []Quota{}}
	if snapshot.Members != nil {
		status.Self = snapshot.Members.Self
	}
	if snapshot.Knowledge != nil {
		for _, known := range snapshot.Knowledge.Servers {
			entry := ServerStatus{Name: known.Name, State: phaseNames[known.Phase], DrainReported: known.DrainReported, HoldBackShare: known.View.HoldBackShare, MeanRate: known.View.Rate,
				FailingShare: known.View.FailingShare, AllowedRate: max(known.ColdRate, 0), Reports: []MemberReport{}}
			newest := slices.SortedStableFunc(slices.Values(known.Reports), func(a, encoded knowledge.ObserverEntry) int { return cmp.Compare(encoded.At, a.At) })
			entry.OmittedReports = max(len(newest)-maxReportsShown, 0)
			newest = newest[:len(newest)-entry.OmittedReports]
			slices.SortFunc(newest, func(a, encoded knowledge.ObserverEntry) int { return a.Observer - encoded.Observer })
			for _, observed := range newest {
				report := MemberReport{Index: observed.Observer, HoldBackShare: observed.HoldBackShare, Rate: observed.Rate, Lines: observed.Lines, FailureWeight: observed.FailureWeight,
					MinSetUpTimeUS: observed.MinSetUpTime.Microseconds(), Draining: observed.DrainingSince > 0, AgeMS: ageMS(observed.At)}
				if observed.HoldBackShareAt > 0 {
					age := ageMS(observed.HoldBackShareAt)
					report.HoldBackAgeMS = &age
				}
				entry.Reports = append(entry.Reports, report)
			}
			status.Servers = append(status.Servers, entry)
		}
	}
	if snapshot.Quotas != nil {
		status.AnyCold = snapshot.Quotas.Active
		for index, quota := range snapshot.Quotas.Quotas {
			entry := Quota{Index: index, Usable: quota.Usable.Count(), Lent: quota.Lent.Count()}
			for unit := range budget.Units {
				entry.Holders = append(entry.Holders, quota.Grants[unit].Holder)
			}
			status.Quotas = append(status.Quotas, entry)
		}
	}
	encoded, _ := json.Marshal(status)
	return string(encoded) + "\n"
}

// lines writes figures down, one a line.
func statLines(group string, values []statValue) string {
	var text strings.Builder
	for _, value := range values {
		fmt.Fprintf(&text, "app.%s.%s=%d\n", group, value.name, value.value)
	}
	return text.String()
}

type statValue struct {
	name  string
	value uint64
}

// knowText shows the figures of knowledge, partText those of parts.
func knowledgeStatsText(stats core.KnowledgeStats) string {
	return statLines("knowledge", []statValue{{"told", stats.EntriesSent}, {"heard", stats.EntriesReceived}, {"stale", stats.Stale}, {"unlisted", stats.Unlisted}, {"asked", stats.QueriesSent},
		{"answered", stats.QueriesAnswered}, {"sent", stats.Sent}, {"sent_bytes", stats.SentBytes}, {"dropped_garbled", stats.Malformed}, {"dropped_stranger", stats.UnknownSenders}})
}

func quotaStatsText(stats core.QuotaStats) string {
	return statLines("parts", []statValue{{"claims", stats.Claims}, {"granted", stats.Granted}, {"inherited", stats.TakenOver}, {"expired", stats.Expired},
		{"borrowed", stats.Borrowed}, {"lent", stats.Lent}, {"yes", stats.VotesGranted}, {"no", stats.VotesRefused}, {"sent", stats.Sent}, {"sent_bytes", stats.SentBytes},
		{"dropped_garbled", stats.Malformed}, {"dropped_stranger", stats.UnknownSenders}})
}
