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
type claimRound struct {
	Seq         uint32
	RequestedAt Time
	Units       []Mask // by part
	Votes       [][Units]int
	Voters      []int
}

// loan is an own unit that is lent.
type loan struct {
	Borrower int
	Expiry   Time
}

// cold is a server that is cold, and whose part of it is which rate.
type coldServer struct {
	Server    uint32
	ColdUntil Time
	Rates     []float64 // by member; negative: not told
}

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg             Config
	now             Time
	incarnation     uint64
	recoveredAt     Time // from then on it grants
	rng             *rand.Rand
	effects         []Effect
	available       []bool
	lendable        []uint8 // that members have told
	grants          [][Units]Grant
	ownerRefusedAt  []Time // when a part's owner last claimed it in vain
	heldExpiry      [][Units]Time
	claimSeq        uint32 // the last claim's number
	rounds          []claimRound
	loans           [Units]loan
	borrowedExpiry  [][Units]Time // by lender
	loanSeq         uint32        // the last loan's number that was asked for
	loanRequestedAt Time
	coldServers     []coldServer
	demand          float64 // negative: not known
	timerSeq        uint32
	active          bool
	counters        Counters
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
		cfg: cfg, now: now, incarnation: max(uint64(now/time.Millisecond), 1), recoveredAt: now + cfg.Limits.recoveryTime(), demand: -1,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x62756467)),
	}
	r.claimSeq, r.loanSeq = uint32(r.incarnation), uint32(r.incarnation) // what answers an earlier life's is passed over
	if !r.guardEnabled(GuardRecover) || cfg.TierSize == 1 {
		r.recoveredAt = 0
	}
	if r.Transferable() {
		r.available, r.lendable, r.ownerRefusedAt = make([]bool, cfg.TierSize), make([]uint8, cfg.TierSize), make([]Time, cfg.TierSize)
		r.grants, r.heldExpiry, r.borrowedExpiry = make([][Units]Grant, cfg.TierSize), make([][Units]Time, cfg.TierSize), make([][Units]Time, cfg.TierSize)
		r.available[cfg.Self] = true
		for owner := range r.grants {
			for unit := range Units {
				r.grants[owner][unit].Holder = -1
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
			r.markCold(ev)
		}
		return nil
	}
	r.expire()
	switch ev := ev.(type) {
	case Datagram:
		r.handleDatagram(ev)
	case TimerFired:
		if ev.Token.seq == r.timerSeq {
			r.runRound()
		}
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.available[ev.Member] = ev.Available
		}
	case ColdServer:
		r.markCold(ev)
	case Demand:
		r.demand = max(ev.Quotas, 0)
	}
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Reducer) emit(e Effect)             { r.effects = append(r.effects, e) }
func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }
func (r *Reducer) quorum() int               { return r.cfg.TierSize/2 + 1 }

// cold takes in that a server is cold. The own rate of one never falls while it is: parts of the others that are used here
// are counted in theirs, and nobody's should grow with the callers of those who are dead. It is for who tells it to say
// until when it may grow.
func (r *Reducer) markCold(ev ColdServer) {
	if ev.Until <= r.now || !(ev.Rate >= 0) {
		return
	}
	c := r.findOrAddServer(ev.Server)
	if c == nil {
		return
	}
	c.ColdUntil = max(c.ColdUntil, ev.Until)
	c.Rates[r.cfg.Self] = max(c.Rates[r.cfg.Self], ev.Rate)
	if r.Transferable() && !r.active {
		r.active = true
		r.runRound()
	}
}

// server is what is kept of a cold server; nil: there are too many.
func (r *Reducer) findOrAddServer(hash uint32) *coldServer {
	r.coldServers = slices.DeleteFunc(r.coldServers, func(c coldServer) bool { return r.now >= c.ColdUntil })
	for i := range r.coldServers {
		if r.coldServers[i].Server == hash {
			return &r.coldServers[i]
		}
	}
	if len(r.coldServers) >= r.cfg.Limits.MaxServers {
		return nil
	}
	c := coldServer{Server: hash, Rates: make([]float64, r.cfg.TierSize)}
	for m := range c.Rates {
		c.Rates[m] = -1
	}
	r.coldServers = append(r.coldServers, c)
	return &r.coldServers[len(r.coldServers)-1]
}

// tick claims what is to be held, and asks for a loan where that is not enough; while a server is cold.
func (r *Reducer) runRound() {
	r.coldServers = slices.DeleteFunc(r.coldServers, func(c coldServer) bool { return r.now >= c.ColdUntil })
	if r.active = len(r.coldServers) > 0; !r.active {
		return
	}
	r.sendClaims()
	r.requestLoans()
	r.timerSeq++ // a little random, so that two heirs do not claim at once for ever
	delay := r.cfg.Limits.roundInterval()*7/8 + time.Duration(r.rng.Int64N(int64(r.cfg.Limits.roundInterval()/4)))
	r.emit(Timer{At: r.now + delay, Token: Token{r.timerSeq}})
}

// claim asks all for the own units, and for those of the absent whose heir this member is.
func (r *Reducer) sendClaims() {
	round := claimRound{RequestedAt: r.now, Units: make([]Mask, r.cfg.TierSize), Votes: make([][Units]int, r.cfg.TierSize), Voters: []int{r.cfg.Self}}
	r.claimSeq++
	round.Seq = r.claimSeq
	var items []int64
	for owner := range round.Units {
		for unit := 1; unit < Units; unit++ {
			if owner == r.cfg.Self || !r.available[owner] && (r.successor(owner, unit) == r.cfg.Self || r.now < r.heldExpiry[owner][unit]) {
				round.Units[owner] |= 1 << unit
			}
		}
		if round.Units[owner] != 0 {
			items = append(items, int64(owner)<<Units|int64(round.Units[owner]))
		}
	}
	r.counters.Claims++
	r.rounds = append(r.rounds, round)
	r.rounds = r.rounds[max(len(r.rounds)-4, 0):] // answers come for so long
	for owner, units := range round.Units {
		r.countVotes(&r.rounds[len(r.rounds)-1], owner, r.vote(r.cfg.Self, r.incarnation, round.Seq, owner, units))
	}
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self {
			r.send(member, message{Kind: kindClaim, Seq: round.Seq, Items: items, Rates: r.encodeRates()})
		}
	}
}

// heir is who is to have a unit that its owner has left: of those that are there, the one that hashes highest (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that all who see the same agree, and a change
// of who is there moves little.
func (r *Reducer) successor(owner, unit int) (successor int) {
	var maxHash uint64
	successor = -1
	for member, available := range r.available {
		if hash := xxh3.Hash([]byte{byte(owner), byte(unit), byte(member)}); available && member != owner && (successor < 0 || hash > maxHash) {
			successor, maxHash = member, hash
		}
	}
	return successor
}

// rates are those of the own part, as they are told.
func (r *Reducer) encodeRates() (items []int64) {
	for _, c := range r.coldServers {
		if rate := c.Rates[r.cfg.Self]; rate >= 0 {
			items = append(items, int64(c.Server), int64(min(rate, 1e6)*1000))
		}
	}
	return items
}

// vote says which units of a part this member grants to one that claims them, and remembers it.
func (r *Reducer) vote(claimant int, incarnation uint64, seq uint32, owner int, units Mask) (granted Mask) {
	if r.now < r.recoveredAt {
		return 0
	}
	byOwner := owner == claimant
	if !byOwner && (owner == r.cfg.Self || r.available[owner] || r.now < r.ownerRefusedAt[owner]+r.cfg.Limits.Lease) {
		return 0 // it is there and wants it, or will have it back
	}
	for unit := 1; unit < Units; unit++ {
		if units&(1<<unit) == 0 {
			continue
		}
		g := &r.grants[owner][unit]
		renewal := g.Holder == claimant && (g.Incarnation == incarnation || !r.guardEnabled(GuardIncarnation))
		if r.now < g.Expiry && !renewal && r.guardEnabled(GuardExclusive) {
			if byOwner && g.Holder != claimant {
				r.ownerRefusedAt[owner] = r.now
			}
			continue
		}
		*g = Grant{Holder: claimant, Incarnation: incarnation, Seq: seq, Expiry: r.now + r.cfg.Limits.Lease}
		granted |= 1 << unit
	}
	return granted
}

// tally counts a vote. At a majority a unit is held, from when it was asked for.
func (r *Reducer) countVotes(round *claimRound, owner int, units Mask) {
	for unit := 1; unit < Units; unit++ {
		if units&round.Units[owner]&(1<<unit) == 0 {
			continue
		}
		if round.Votes[owner][unit]++; round.Votes[owner][unit] != r.quorum() {
			continue
		}
		expiry := round.RequestedAt + r.cfg.Limits.safeDuration(r.cfg.Limits.Lease)
		if !r.guardEnabled(GuardExpiry) {
			expiry = r.now + 2*r.cfg.Limits.Lease
		}
		if expiry > r.now && r.heldExpiry[owner][unit] == 0 {
			r.counters.Granted++
			if owner != r.cfg.Self {
				r.counters.TakenOver++
			}
		}
		if expiry > r.now {
			r.heldExpiry[owner][unit] = max(r.heldExpiry[owner][unit], expiry)
		}
	}
}

// expire ends what has run out, before anything else.
func (r *Reducer) expire() {
	for owner := range r.heldExpiry {
		for unit := range Units {
			if expiry := r.heldExpiry[owner][unit]; expiry > 0 && r.now >= expiry {
				r.heldExpiry[owner][unit] = 0
				r.counters.Expired++
			}
			if r.now >= r.borrowedExpiry[owner][unit] {
				r.borrowedExpiry[owner][unit] = 0
			}
		}
	}
	for unit := range r.loans {
		if r.now >= r.loans[unit].Expiry {
			r.loans[unit] = loan{}
		}
	}
}

// datagram takes one in.
func (r *Reducer) handleDatagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	m, err := decode(d.Data, r.cfg.TierSize)
	switch {
	case err != nil:
		r.counters.Malformed++
		return
	case int(m.Tier) != r.cfg.TierSize, d.From == r.cfg.Self:
		r.counters.UnknownSenders++
		return
	}
	r.lendable[d.From] = m.Lendable
	for i := 0; i+1 < len(m.Rates); i += 2 {
		if c := r.findServer(uint32(m.Rates[i])); c != nil { // a server that the own list has not named stays unknown
			c.Rates[d.From] = float64(m.Rates[i+1]) / 1000
		}
	}
	switch m.Kind {
	case kindClaim:
		r.handleClaim(d.From, m)
	case kindGrant:
		r.handleGrant(d.From, m)
	case kindReturn:
		r.handleReturn(d.From, m)
	case kindBorrow:
		r.handleBorrow(d.From, m)
	case kindLend:
		r.handleLoan(d.From, m)
	}
}

// known is a cold server of the own list; nil: it is none.
func (r *Reducer) findServer(hash uint32) *coldServer {
	for i := range r.coldServers {
		if c := &r.coldServers[i]; c.Server == hash && c.Rates[r.cfg.Self] >= 0 {
			return c
		}
	}
	return nil
}

func (r *Reducer) handleClaim(from int, m message) {
	var items []int64
	for _, item := range m.Items {
		owner, units := int(item>>Units), Mask(item)
		granted := r.vote(from, m.Incarnation, m.Seq, owner, units)
		r.counters.VotesGranted += uint64(granted.Count())
		r.counters.VotesRefused += uint64((units &^ granted).Count())
		if granted != 0 {
			items = append(items, int64(owner)<<Units|int64(granted))
		}
	}
	if len(items) > 0 {
		r.send(from, message{Kind: kindGrant, Seq: m.Seq, Items: items, Rates: r.encodeRates()})
	}
}

// granted takes in an answer. When all could have answered, what is out of reach is given back, so that of two heirs who
// split the votes one has all of them the next time.
func (r *Reducer) handleGrant(from int, m message) {
	for i := range r.rounds {
		round := &r.rounds[i]
		if round.Seq != m.Seq || slices.Contains(round.Voters, from) {
			continue
		}
		round.Voters = append(round.Voters, from)
		for _, item := range m.Items {
			r.countVotes(round, int(item>>Units), Mask(item))
		}
		r.returnUnwon(round)
	}
}

// yield gives back, once a majority has answered a claim, the units of others that came to none.
func (r *Reducer) returnUnwon(round *claimRound) {
	if len(round.Voters) != r.quorum() || round.Seq != r.claimSeq {
		return
	}
	var items []int64
	for owner, units := range round.Units {
		var unwon Mask
		for unit := 1; unit < Units; unit++ {
			if units&(1<<unit) != 0 && r.heldExpiry[owner][unit] == 0 && round.Votes[owner][unit] < r.quorum() && owner != r.cfg.Self && r.rng.IntN(2) == 0 {
				unwon |= 1 << unit
			}
		}
		if unwon != 0 {
			items = append(items, int64(owner)<<Units|int64(unwon))
			round.Units[owner] &^= unwon // a later answer is too late for these
		}
	}
	if len(items) == 0 {
		return
	}
	m := message{Kind: kindReturn, Seq: round.Seq, Incarnation: r.incarnation, Items: items}
	for member := range r.cfg.TierSize {
		if member == r.cfg.Self {
			r.handleReturn(member, m)
		} else {
			r.send(member, m)
		}
	}
}

// givenBack frees units of that claim; a later claim's grant stands.
func (r *Reducer) handleReturn(from int, m message) {
	for _, item := range m.Items {
		for unit := 1; unit < Units; unit++ {
			if g := &r.grants[item>>Units][unit]; Mask(item)&(1<<unit) != 0 && g.Holder == from && g.Incarnation == m.Incarnation && g.Seq <= m.Seq {
				g.Holder, g.Expiry = -1, 0
			}
		}
	}
}

func (r *Reducer) send(member int, m message) {
	m.Tier, m.Incarnation, m.Lendable = uint16(r.cfg.TierSize), r.incarnation, uint8(r.lendableUnits().Count())
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
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: member, Data: data})
}
