package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

// claiming is a round of claims under way: what was asked for, when, and who has granted which units.
type claiming struct {
	Seq   uint32
	Asked Time
	Parts []Mask // by part
	Votes [][Units]int
	By    []int
}

// loan is an own unit that is lent.
type loan struct {
	To    int
	Until Time
}

// cold is a server that is cold, and whose part of it is which rate.
type cold struct {
	Server uint32
	Until  Time
	Rates  []float64 // by member; negative: not told
}

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg      Config
	now      Time
	life     uint64
	settled  Time // from then on it grants
	rng      *rand.Rand
	out      []Effect
	there    []bool
	spare    []uint8 // that members have told
	grants   [][Units]Grant
	wanted   []Time // when a part's owner last claimed it in vain
	held     [][Units]Time
	asked    uint32 // the last claim's number
	rounds   []claiming
	lent     [Units]loan
	borrowed [][Units]Time // by lender
	want     uint32        // the last loan's number that was asked for
	wantAt   Time
	servers  []cold
	use      float64 // negative: not known
	ticks    uint32
	ticking  bool
	figures  Counters
}

// New begins a member's part.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d is none of %d members", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{
		cfg: cfg, now: now, life: max(uint64(now/time.Millisecond), 1), settled: now + cfg.Limits.longest(), use: -1,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x62756467)),
	}
	r.asked, r.want = uint32(r.life), uint32(r.life) // what answers an earlier life's is passed over
	if !r.has(GuardRecover) || cfg.TierSize == 1 {
		r.settled = 0
	}
	if r.Transferable() {
		r.there, r.spare, r.wanted = make([]bool, cfg.TierSize), make([]uint8, cfg.TierSize), make([]Time, cfg.TierSize)
		r.grants, r.held, r.borrowed = make([][Units]Grant, cfg.TierSize), make([][Units]Time, cfg.TierSize), make([][Units]Time, cfg.TierSize)
		r.there[cfg.Self] = true
		for p := range r.grants {
			for u := range Units {
				r.grants[p][u].Holder = -1
			}
		}
	}
	return r, nil, nil
}

// Transferable says whether parts move at all: in a tier too great for it each keeps its own.
func (r *Reducer) Transferable() bool { return r.cfg.TierSize <= r.cfg.Limits.MaxMembers }

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	if !r.Transferable() {
		if ev, ok := ev.(ColdServer); ok {
			r.cold(ev)
		}
		return nil
	}
	r.expire()
	switch ev := ev.(type) {
	case Datagram:
		r.datagram(ev)
	case TimerFired:
		if ev.Token.seq == r.ticks {
			r.tick()
		}
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.there[ev.Member] = ev.Available
		}
	case ColdServer:
		r.cold(ev)
	case Demand:
		r.use = max(ev.Quotas, 0)
	}
	out := r.out
	r.out = nil
	return out
}

func (r *Reducer) do(e Effect)      { r.out = append(r.out, e) }
func (r *Reducer) has(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }
func (r *Reducer) quorum() int      { return r.cfg.TierSize/2 + 1 }

// cold takes in that a server is cold. The own rate of one never falls while it is: parts of the others that are used here
// are counted in theirs, and nobody's should grow with the callers of those who are dead. It is for who tells it to say
// until when it may grow.
func (r *Reducer) cold(ev ColdServer) {
	if ev.Until <= r.now || !(ev.Rate >= 0) {
		return
	}
	c := r.server(ev.Server)
	if c == nil {
		return
	}
	c.Until = max(c.Until, ev.Until)
	c.Rates[r.cfg.Self] = max(c.Rates[r.cfg.Self], ev.Rate)
	if r.Transferable() && !r.ticking {
		r.ticking = true
		r.tick()
	}
}

// server is what is kept of a cold server; nil: there are too many.
func (r *Reducer) server(name uint32) *cold {
	r.servers = slices.DeleteFunc(r.servers, func(c cold) bool { return r.now >= c.Until })
	for i := range r.servers {
		if r.servers[i].Server == name {
			return &r.servers[i]
		}
	}
	if len(r.servers) >= r.cfg.Limits.MaxServers {
		return nil
	}
	c := cold{Server: name, Rates: make([]float64, r.cfg.TierSize)}
	for m := range c.Rates {
		c.Rates[m] = -1
	}
	r.servers = append(r.servers, c)
	return &r.servers[len(r.servers)-1]
}

// tick claims what is to be held, and asks for a loan where that is not enough; while a server is cold.
func (r *Reducer) tick() {
	r.servers = slices.DeleteFunc(r.servers, func(c cold) bool { return r.now >= c.Until })
	if r.ticking = len(r.servers) > 0; !r.ticking {
		return
	}
	r.claim()
	r.ask()
	r.ticks++ // a little random, so that two heirs do not claim at once for ever
	wait := r.cfg.Limits.round()*7/8 + time.Duration(r.rng.Int64N(int64(r.cfg.Limits.round()/4)))
	r.do(Timer{At: r.now + wait, Token: Token{r.ticks}})
}

// claim asks all for the own units, and for those of the absent whose heir this member is.
func (r *Reducer) claim() {
	c := claiming{Asked: r.now, Parts: make([]Mask, r.cfg.TierSize), Votes: make([][Units]int, r.cfg.TierSize), By: []int{r.cfg.Self}}
	r.asked++
	c.Seq = r.asked
	var items []int64
	for p := range c.Parts {
		for u := 1; u < Units; u++ {
			if p == r.cfg.Self || !r.there[p] && (r.heir(p, u) == r.cfg.Self || r.now < r.held[p][u]) {
				c.Parts[p] |= 1 << u
			}
		}
		if c.Parts[p] != 0 {
			items = append(items, int64(p)<<Units|int64(c.Parts[p]))
		}
	}
	r.figures.Claims++
	r.rounds = append(r.rounds, c)
	r.rounds = r.rounds[max(len(r.rounds)-4, 0):] // answers come for so long
	for p, units := range c.Parts {
		r.tally(&r.rounds[len(r.rounds)-1], p, r.vote(r.cfg.Self, r.life, c.Seq, p, units))
	}
	for m := range r.cfg.TierSize {
		if m != r.cfg.Self {
			r.send(m, message{Kind: claim, Seq: c.Seq, Items: items, Rates: r.rates()})
		}
	}
}

// heir is who is to have a unit that its owner has left: of those that are there, the one that hashes highest (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that all who see the same agree, and a change
// of who is there moves little.
func (r *Reducer) heir(part, unit int) (best int) {
	var top uint64
	best = -1
	for m, yes := range r.there {
		if h := xxh3.Hash([]byte{byte(part), byte(unit), byte(m)}); yes && m != part && (best < 0 || h > top) {
			best, top = m, h
		}
	}
	return best
}

// rates are those of the own part, as they are told.
func (r *Reducer) rates() (w []int64) {
	for _, c := range r.servers {
		if rate := c.Rates[r.cfg.Self]; rate >= 0 {
			w = append(w, int64(c.Server), int64(min(rate, 1e6)*1000))
		}
	}
	return w
}

// vote says which units of a part this member grants to one that claims them, and remembers it.
func (r *Reducer) vote(to int, life uint64, seq uint32, part int, units Mask) (yes Mask) {
	if r.now < r.settled {
		return 0
	}
	owner := part == to
	if !owner && (part == r.cfg.Self || r.there[part] || r.now < r.wanted[part]+r.cfg.Limits.Lease) {
		return 0 // it is there and wants it, or will have it back
	}
	for u := 1; u < Units; u++ {
		if units&(1<<u) == 0 {
			continue
		}
		g := &r.grants[part][u]
		same := g.Holder == to && (g.Incarnation == life || !r.has(GuardIncarnation))
		if r.now < g.Expiry && !same && r.has(GuardExclusive) {
			if owner && g.Holder != to {
				r.wanted[part] = r.now
			}
			continue
		}
		*g = Grant{Holder: to, Incarnation: life, Seq: seq, Expiry: r.now + r.cfg.Limits.Lease}
		yes |= 1 << u
	}
	return yes
}

// tally counts a vote. At a majority a unit is held, from when it was asked for.
func (r *Reducer) tally(c *claiming, part int, units Mask) {
	for u := 1; u < Units; u++ {
		if units&c.Parts[part]&(1<<u) == 0 {
			continue
		}
		if c.Votes[part][u]++; c.Votes[part][u] != r.quorum() {
			continue
		}
		until := c.Asked + r.cfg.Limits.sure(r.cfg.Limits.Lease)
		if !r.has(GuardExpiry) {
			until = r.now + 2*r.cfg.Limits.Lease
		}
		if until > r.now && r.held[part][u] == 0 {
			r.figures.Granted++
			if part != r.cfg.Self {
				r.figures.TakenOver++
			}
		}
		if until > r.now {
			r.held[part][u] = max(r.held[part][u], until)
		}
	}
}

// expire ends what has run out, before anything else.
func (r *Reducer) expire() {
	for p := range r.held {
		for u := range Units {
			if until := r.held[p][u]; until > 0 && r.now >= until {
				r.held[p][u] = 0
				r.figures.Expired++
			}
			if r.now >= r.borrowed[p][u] {
				r.borrowed[p][u] = 0
			}
		}
	}
	for u := range r.lent {
		if r.now >= r.lent[u].Until {
			r.lent[u] = loan{}
		}
	}
}

// datagram takes one in.
func (r *Reducer) datagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.figures.UnknownSenders++
		return
	}
	m, err := decode(d.Data, r.cfg.TierSize)
	switch {
	case err != nil:
		r.figures.Malformed++
		return
	case int(m.Tier) != r.cfg.TierSize, d.From == r.cfg.Self:
		r.figures.UnknownSenders++
		return
	}
	r.spare[d.From] = m.Spare
	for i := 0; i+1 < len(m.Rates); i += 2 {
		if c := r.known(uint32(m.Rates[i])); c != nil { // a server that the own list has not named stays unknown
			c.Rates[d.From] = float64(m.Rates[i+1]) / 1000
		}
	}
	switch m.Kind {
	case claim:
		r.claimed(d.From, m)
	case grant:
		r.granted(d.From, m)
	case back:
		r.givenBack(d.From, m)
	case borrow:
		r.borrow(d.From, m)
	case lend:
		r.took(d.From, m)
	}
}

// known is a cold server of the own list; nil: it is none.
func (r *Reducer) known(name uint32) *cold {
	for i := range r.servers {
		if c := &r.servers[i]; c.Server == name && c.Rates[r.cfg.Self] >= 0 {
			return c
		}
	}
	return nil
}

func (r *Reducer) claimed(from int, m message) {
	var items []int64
	for _, w := range m.Items {
		p, units := int(w>>Units), Mask(w)
		yes := r.vote(from, m.Incarnation, m.Seq, p, units)
		r.figures.VotesGranted += uint64(yes.Count())
		r.figures.VotesRefused += uint64((units &^ yes).Count())
		if yes != 0 {
			items = append(items, int64(p)<<Units|int64(yes))
		}
	}
	if len(items) > 0 {
		r.send(from, message{Kind: grant, Seq: m.Seq, Items: items, Rates: r.rates()})
	}
}

// granted takes in an answer. When all could have answered, what is out of reach is given back, so that of two heirs who
// split the votes one has all of them the next time.
func (r *Reducer) granted(from int, m message) {
	for i := range r.rounds {
		c := &r.rounds[i]
		if c.Seq != m.Seq || slices.Contains(c.By, from) {
			continue
		}
		c.By = append(c.By, from)
		for _, w := range m.Items {
			r.tally(c, int(w>>Units), Mask(w))
		}
		r.yield(c)
	}
}

// yield gives back, once a majority has answered a claim, the units of others that came to none.
func (r *Reducer) yield(c *claiming) {
	if len(c.By) != r.quorum() || c.Seq != r.asked {
		return
	}
	var items []int64
	for p, units := range c.Parts {
		var none Mask
		for u := 1; u < Units; u++ {
			if units&(1<<u) != 0 && r.held[p][u] == 0 && c.Votes[p][u] < r.quorum() && p != r.cfg.Self && r.rng.IntN(2) == 0 {
				none |= 1 << u
			}
		}
		if none != 0 {
			items = append(items, int64(p)<<Units|int64(none))
			c.Parts[p] &^= none // a later answer is too late for these
		}
	}
	if len(items) == 0 {
		return
	}
	m := message{Kind: back, Seq: c.Seq, Incarnation: r.life, Items: items}
	for to := range r.cfg.TierSize {
		if to == r.cfg.Self {
			r.givenBack(to, m)
		} else {
			r.send(to, m)
		}
	}
}

// givenBack frees units of that claim; a later claim's grant stands.
func (r *Reducer) givenBack(from int, m message) {
	for _, w := range m.Items {
		for u := 1; u < Units; u++ {
			if g := &r.grants[w>>Units][u]; Mask(w)&(1<<u) != 0 && g.Holder == from && g.Incarnation == m.Incarnation && g.Seq <= m.Seq {
				g.Holder, g.Expiry = -1, 0
			}
		}
	}
}

func (r *Reducer) send(to int, m message) {
	m.Tier, m.Incarnation, m.Spare = uint16(r.cfg.TierSize), r.life, uint8(r.idle().Count())
	if m.Items == nil {
		m.Items = []int64{}
	}
	if m.Rates == nil {
		m.Rates = []int64{}
	}
	data := datagram.Encode(Version, m)
	for len(data) > datagram.MaxSize { // rates come again
		m.Rates = m.Rates[:len(m.Rates)-2]
		data = datagram.Encode(Version, m)
	}
	r.figures.Sent++
	r.figures.SentBytes += uint64(len(data))
	r.do(Send{To: to, Data: data})
}
