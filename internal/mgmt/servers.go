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
	Self         int            `json:"self"`    // own number
	Servers      []ServerStatus `json:"servers"` // as listed; none where knowledge is off
	QuotasActive bool           `json:"active"`  // a server is cold, and parts of its budget are held
	Quotas       []Quota        `json:"parts"`   // by member; none where they don't move
}

// ServerStatus is one of the own list.
type ServerStatus struct {
	Name          string         `json:"name"`
	State         string         `json:"state"`             // ready, draining or gone
	DrainReported bool           `json:"heard"`             // it is held for draining by a peer's newer list alone
	HoldBackShare float64        `json:"share"`             // of new set-ups to be held back, of all that is known
	MeanRate      float64        `json:"rate"`              // set-ups a second that another softswitch takes from there, on the mean
	FailingShare  float64        `json:"failing"`           // share of the others' weight that holds it for failing
	AllowedRate   float64        `json:"allowed,omitempty"` // while it is cold: set-ups a second of a warm one that may be used here
	Reports       []MemberReport `json:"told"`              // the newest, by number
	Omitted       int            `json:"more,omitempty"`    // others that have told, and aren't shown
}

// toldShown are the entries shown of a server: in a tier of hundreds all of them are megabytes, and most are old.
const toldShown = 64

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
func serversJSON(f loop.Snapshot) string {
	now := knowledge.Time(f.At.UnixNano())
	ms := func(at knowledge.Time) int64 { return max(int64((now-at)/time.Millisecond), 0) }
	s := ServersStatus{Servers: []ServerStatus{}, Quotas: []Quota{}}
	if f.Members != nil {
		s.Self = f.Members.Self
	}
	if f.Knowledge != nil {
		for _, k := range f.Knowledge.Servers {
			one := ServerStatus{Name: k.Name, State: phaseNames[k.Phase], DrainReported: k.DrainReported, HoldBackShare: k.View.HoldBackShare, MeanRate: k.View.Rate,
				FailingShare: k.View.FailingShare, AllowedRate: max(k.ColdRate, 0), Reports: []MemberReport{}}
			newest := slices.SortedStableFunc(slices.Values(k.Reports), func(a, b knowledge.ObserverEntry) int { return cmp.Compare(b.At, a.At) })
			one.Omitted = max(len(newest)-toldShown, 0)
			newest = newest[:len(newest)-one.Omitted]
			slices.SortFunc(newest, func(a, b knowledge.ObserverEntry) int { return a.Observer - b.Observer })
			for _, t := range newest {
				told := MemberReport{Index: t.Observer, HoldBackShare: t.HoldBackShare, Rate: t.Rate, Lines: t.Lines, FailureWeight: t.FailureWeight,
					MinSetUpTimeUS: t.MinSetUpTime.Microseconds(), Draining: t.DrainingSince > 0, AgeMS: ms(t.At)}
				if t.HoldBackShareAt > 0 {
					age := ms(t.HoldBackShareAt)
					told.HoldBackAgeMS = &age
				}
				one.Reports = append(one.Reports, told)
			}
			s.Servers = append(s.Servers, one)
		}
	}
	if f.Quotas != nil {
		s.QuotasActive = f.Quotas.Active
		for m, p := range f.Quotas.Quotas {
			one := Quota{Index: m, Usable: p.Usable.Count(), Lent: p.Lent.Count()}
			for u := range budget.Units {
				one.Holders = append(one.Holders, p.Grants[u].Holder)
			}
			s.Quotas = append(s.Quotas, one)
		}
	}
	b, _ := json.Marshal(s)
	return string(b) + "\n"
}

// lines writes figures down, one a line.
func lines(protocol string, figures []figure) string {
	var b strings.Builder
	for _, l := range figures {
		fmt.Fprintf(&b, "app.%s.%s=%d\n", protocol, l.name, l.value)
	}
	return b.String()
}

type figure struct {
	name  string
	value uint64
}

// knowText shows the figures of knowledge, partText those of parts.
func knowText(f core.KnowledgeStats) string {
	return lines("knowledge", []figure{{"told", f.EntriesSent}, {"heard", f.EntriesReceived}, {"stale", f.Stale}, {"unlisted", f.Unlisted}, {"asked", f.QueriesSent},
		{"answered", f.QueriesAnswered}, {"sent", f.Sent}, {"sent_bytes", f.SentBytes}, {"dropped_garbled", f.Malformed}, {"dropped_stranger", f.UnknownSenders}})
}

func partText(f core.QuotaStats) string {
	return lines("parts", []figure{{"claims", f.Claims}, {"granted", f.Granted}, {"inherited", f.TakenOver}, {"expired", f.Expired},
		{"borrowed", f.Borrowed}, {"lent", f.Lent}, {"yes", f.VotesGranted}, {"no", f.VotesRefused}, {"sent", f.Sent}, {"sent_bytes", f.SentBytes},
		{"dropped_garbled", f.Malformed}, {"dropped_stranger", f.UnknownSenders}})
}
