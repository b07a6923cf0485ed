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

// Servers is the answer of /ops/servers: what the tier knows of each server, by whom and how old, and who holds which part
// of the budgets of those that are cold.
type Servers struct {
	Self    int      `json:"self"`    // own number
	Servers []Server `json:"servers"` // as listed; none where knowledge is off
	Active  bool     `json:"active"`  // a server is cold, and parts of its budget are held
	Parts   []Part   `json:"parts"`   // by member; none where they don't move
}

// Server is one of the own list.
type Server struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`             // ready, draining or gone
	Heard   bool    `json:"heard"`             // it is held for draining by a peer's newer list alone
	Share   float64 `json:"share"`             // of new set-ups to be held back, of all that is known
	Rate    float64 `json:"rate"`              // set-ups a second that another softswitch takes from there, on the mean
	Failing float64 `json:"failing"`           // share of the others' weight that holds it for failing
	Allowed float64 `json:"allowed,omitempty"` // while it is cold: set-ups a second of a warm one that may be used here
	Told    []Told  `json:"told"`              // the newest, by number
	More    int     `json:"more,omitempty"`    // others that have told, and aren't shown
}

// toldShown are the entries shown of a server: in a tier of hundreds all of them are megabytes, and most are old.
const toldShown = 64

// Told is what one softswitch has seen of a server.
type Told struct {
	Number  int     `json:"number"`
	Share   float64 `json:"share"`
	ShareMS *int64  `json:"shareMs"` // age of that report, in milliseconds; null: none came
	Rate    float64 `json:"rate"`
	Lines   float64 `json:"lines"`
	Bad     int     `json:"bad"`
	FloorUS int64   `json:"floorUs"` // shortest set-up time, in microseconds; 0: none stood yet
	Drains  bool    `json:"drains"`
	AgeMS   int64   `json:"ageMs"` // it was so then; 0: the own
}

// Part is one softswitch's part of cold servers' budgets, in eighths.
type Part struct {
	Number  int   `json:"number"`
	Use     int   `json:"use"`     // eighths that this softswitch may use
	Lent    int   `json:"lent"`    // of its own, to others
	Holders []int `json:"holders"` // by eighth, as this one has granted them; -1: nobody, the first is the owner's
}

var phaseNames = map[elmseam.Phase]string{elmseam.Gone: "gone", elmseam.Ready: "ready", elmseam.Draining: "draining"}

// serversJSON shows what the tier knows.
func serversJSON(f loop.Snapshot) string {
	now := knowledge.Time(f.At.UnixNano())
	ms := func(at knowledge.Time) int64 { return max(int64((now-at)/time.Millisecond), 0) }
	s := Servers{Servers: []Server{}, Parts: []Part{}}
	if f.Members != nil {
		s.Self = f.Members.Self
	}
	if f.Knows != nil {
		for _, k := range f.Knows.Servers {
			one := Server{Name: k.Name, State: phaseNames[k.Phase], Heard: k.Heard, Share: k.View.Share, Rate: k.View.Rate,
				Failing: k.View.Bad, Allowed: max(k.Rate, 0), Told: []Told{}}
			newest := slices.SortedStableFunc(slices.Values(k.Told), func(a, b knowledge.Told) int { return cmp.Compare(b.At, a.At) })
			one.More = max(len(newest)-toldShown, 0)
			newest = newest[:len(newest)-one.More]
			slices.SortFunc(newest, func(a, b knowledge.Told) int { return a.Observer - b.Observer })
			for _, t := range newest {
				told := Told{Number: t.Observer, Share: t.Share, Rate: t.Rate, Lines: t.Lines, Bad: t.Bad,
					FloorUS: t.Floor.Microseconds(), Drains: t.Drains > 0, AgeMS: ms(t.At)}
				if t.ShareAt > 0 {
					age := ms(t.ShareAt)
					told.ShareMS = &age
				}
				one.Told = append(one.Told, told)
			}
			s.Servers = append(s.Servers, one)
		}
	}
	if f.Parts != nil {
		s.Active = f.Parts.Active
		for m, p := range f.Parts.Parts {
			one := Part{Number: m, Use: p.Use.Count(), Lent: p.Lent.Count()}
			for u := range budget.Units {
				one.Holders = append(one.Holders, p.Grants[u].Holder)
			}
			s.Parts = append(s.Parts, one)
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
func knowText(f core.KnowFigures) string {
	return lines("knowledge", []figure{{"told", f.Told}, {"heard", f.Heard}, {"stale", f.Stale}, {"unlisted", f.Unlisted}, {"asked", f.Asked},
		{"answered", f.Answered}, {"sent", f.Sent}, {"sent_bytes", f.Bytes}, {"dropped_garbled", f.Garbled}, {"dropped_stranger", f.Strange}})
}

func partText(f core.PartFigures) string {
	return lines("parts", []figure{{"claims", f.Claims}, {"granted", f.Granted}, {"inherited", f.Inherited}, {"expired", f.Expired},
		{"borrowed", f.Borrowed}, {"lent", f.Lent}, {"yes", f.Yes}, {"no", f.No}, {"sent", f.Sent}, {"sent_bytes", f.Bytes},
		{"dropped_garbled", f.Garbled}, {"dropped_stranger", f.Strange}})
}
