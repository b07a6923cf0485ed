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

// claimRound is one round of claims: the units requested, when, and the votes so far.
type claimRound struct {
	Seq          uint32       // number of the claims
	StartedAt    Time         // when the claims were sent
	ClaimedUnits []Mask       // units claimed, by owner
	Votes        [][Units]int // number of members that granted the unit, by owner and unit
	Voters       []int        // this member, and the members that have answered
}

// loan is a loan of one of this member's own units.
type loan struct {
	Borrower int
	Expiry   Time // from then on the lender may use the unit again
}

// coldServer is a cold server with each member's quota of its budget.
type coldServer struct {
	ServerHash uint32    // hash of the server's name and start
	ColdUntil  Time      // when the server is warm
	QuotaRates []float64 // whole quota in set-ups a second, by member; negative: not reported
}

// Reducer is one member's state of the budget protocol. It is not safe for concurrent use.
type Reducer struct {
	cfg             Config
	now             Time
	incarnation     uint64 // start time of this member, in milliseconds
	recoveredAt     Time   // earliest time at which this member grants units
	rng             *rand.Rand
	effects         []Effect
	available       []bool         // by member, as membership reports it
	lendableCounts  []uint8        // units that each member last reported as lendable
	grants          [][Units]Grant // by owner and unit: granted by this member
	ownerRefusedAt  []Time         // by owner: when the owner last claimed a unit of its quota in vain
	heldExpiry      [][Units]Time  // by owner and unit: expiry of the lease that this member holds; 0: none
	lastClaimSeq    uint32         // number of the last claim
	recentRounds    []claimRound   // last four rounds of claims
	loans           [Units]loan    // own units lent, by unit
	borrowedExpiry  [][Units]Time  // by lender and unit: expiry of the loan to this member
	lastLoanSeq     uint32         // number of the last loan request
	loanRequestedAt Time           // when that request was sent
	coldServers     []coldServer
	demand          float64 // last Demand event, in multiples of this member's quota; negative: none has come
	validTimerSeq   uint32  // number in the token of the only valid timer
	roundsActive    bool    // rounds of claims run, because a server is cold
	counters        Counters
}

// New returns the reducer of a member, or an error if Self, TierSize or a limit is invalid. It has no first effects:
// rounds begin with the first ColdServer event.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d, not in [0, %d)", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{
		cfg: cfg, now: now, incarnation: max(uint64(now/time.Millisecond), 1), recoveredAt: now + cfg.Limits.recoveryTime(), demand: -1,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x62756467)),
	}
	r.lastClaimSeq, r.lastLoanSeq = uint32(r.incarnation), uint32(r.incarnation) // start at the incarnation, so that answers to requests of an earlier incarnation do not match
	if !r.guardEnabled(GuardRecover) || cfg.TierSize == 1 {
		r.recoveredAt = 0
	}
	if r.Transferable() {
		r.available, r.lendableCounts, r.ownerRefusedAt = make([]bool, cfg.TierSize), make([]uint8, cfg.TierSize), make([]Time, cfg.TierSize)
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

// Transferable reports whether units move between members. In a tier larger than MaxMembers each member keeps its own
// quota.
func (r *Reducer) Transferable() bool { return r.cfg.TierSize <= r.cfg.Limits.MaxMembers }

// Step handles one event and returns the effects, which have to be carried out in their order. A time before that of
// the last Step counts as the time of the last Step. In a tier whose units do not move there are no effects.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	if !r.Transferable() {
		if ev, ok := ev.(ColdServer); ok {
			r.markCold(ev)
		}
		return nil
	}
	r.dropExpired()
	switch ev := ev.(type) {
	case Datagram:
		r.handleDatagram(ev)
	case TimerFired:
		if ev.Token.seq == r.validTimerSeq {
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

// emit adds an effect to the result of the current Step.
func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// guardEnabled reports whether a guard is not switched off by a test.
func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }

// majoritySize returns the number of members in a majority of the tier.
func (r *Reducer) majoritySize() int { return r.cfg.TierSize/2 + 1 }

// markCold handles a ColdServer event. This member's own rate for a server never falls while the server is cold.
// Units of other members' quotas that are used here count at their owners' rates. So no rate should grow with the
// callers of dead members; the sender of the event decides until when a rate may grow.
func (r *Reducer) markCold(ev ColdServer) {
	if ev.ColdUntil <= r.now || !(ev.Rate >= 0) {
		return
	}
	cold := r.findOrAddColdServer(ev.Server)
	if cold == nil {
		return
	}
	cold.ColdUntil = max(cold.ColdUntil, ev.ColdUntil)
	cold.QuotaRates[r.cfg.Self] = max(cold.QuotaRates[r.cfg.Self], ev.Rate)
	if r.Transferable() && !r.roundsActive {
		r.roundsActive = true
		r.runRound()
	}
}

// findOrAddColdServer returns the state of a cold server; nil if too many servers are cold.
func (r *Reducer) findOrAddColdServer(hash uint32) *coldServer {
	r.coldServers = slices.DeleteFunc(r.coldServers, func(cold coldServer) bool { return r.now >= cold.ColdUntil })
	for i := range r.coldServers {
		if r.coldServers[i].ServerHash == hash {
			return &r.coldServers[i]
		}
	}
	if len(r.coldServers) >= r.cfg.Limits.MaxServers {
		return nil
	}
	cold := coldServer{ServerHash: hash, QuotaRates: make([]float64, r.cfg.TierSize)}
	for m := range cold.QuotaRates {
		cold.QuotaRates[m] = -1
	}
	r.coldServers = append(r.coldServers, cold)
	return &r.coldServers[len(r.coldServers)-1]
}

// runRound claims the units that this member should hold, and requests loans if these units are not enough. Rounds
// repeat while a server is cold.
func (r *Reducer) runRound() {
	r.coldServers = slices.DeleteFunc(r.coldServers, func(cold coldServer) bool { return r.now >= cold.ColdUntil })
	if r.roundsActive = len(r.coldServers) > 0; !r.roundsActive {
		return
	}
	r.sendClaims()
	r.requestLoans()
	r.validTimerSeq++
	// Random jitter, so that two successors do not keep claiming at the same time.
	delay := r.cfg.Limits.roundInterval()*7/8 + time.Duration(r.rng.Int64N(int64(r.cfg.Limits.roundInterval()/4)))
	r.emit(Timer{At: r.now + delay, Token: Token{r.validTimerSeq}})
}

// sendClaims claims from all members this member's own transferable units, and the units of unavailable members whose
// successor this member is or which it still holds.
func (r *Reducer) sendClaims() {
	round := claimRound{StartedAt: r.now, ClaimedUnits: make([]Mask, r.cfg.TierSize), Votes: make([][Units]int, r.cfg.TierSize), Voters: []int{r.cfg.Self}}
	r.lastClaimSeq++
	round.Seq = r.lastClaimSeq
	var items []int64
	for owner := range round.ClaimedUnits {
		for unit := 1; unit < Units; unit++ {
			if owner == r.cfg.Self || !r.available[owner] && (r.successor(owner, unit) == r.cfg.Self || r.now < r.heldExpiry[owner][unit]) {
				round.ClaimedUnits[owner] |= 1 << unit
			}
		}
		if round.ClaimedUnits[owner] != 0 {
			items = append(items, int64(owner)<<Units|int64(round.ClaimedUnits[owner]))
		}
	}
	r.counters.Claims++
	r.recentRounds = append(r.recentRounds, round)
	r.recentRounds = r.recentRounds[max(len(r.recentRounds)-4, 0):] // answers to the last four rounds still count
	for owner, units := range round.ClaimedUnits {
		r.countVotes(&r.recentRounds[len(r.recentRounds)-1], owner, r.voteOnClaim(r.cfg.Self, r.incarnation, round.Seq, owner, units))
	}
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self {
			r.send(member, message{Kind: kindClaim, Seq: round.Seq, Items: items, QuotaRates: r.encodeOwnQuotaRates()})
		}
	}
}

// successor returns the member that should have a unit of an unavailable owner: of the available members the one whose
// hash of owner, unit and member is highest (rendezvous hashing: Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998). So all members that consider the same members available agree, and a change of availability moves few units.
// It returns -1 if no member is available.
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

// encodeOwnQuotaRates returns this member's own quotas in the form of message.QuotaRates.
func (r *Reducer) encodeOwnQuotaRates() (items []int64) {
	for _, cold := range r.coldServers {
		if rate := cold.QuotaRates[r.cfg.Self]; rate >= 0 {
			items = append(items, int64(cold.ServerHash), int64(min(rate, 1e6)*1000))
		}
	}
	return items
}

// voteOnClaim returns the units of an owner's quota that this member grants to a claimant, and records the grants. Before
// recoveredAt it grants none.
func (r *Reducer) voteOnClaim(claimant int, incarnation uint64, seq uint32, owner int, units Mask) (granted Mask) {
	if r.now < r.recoveredAt {
		return 0
	}
	byOwner := owner == claimant
	if !byOwner && (owner == r.cfg.Self || r.available[owner] || r.now < r.ownerRefusedAt[owner]+r.cfg.Limits.Lease) {
		return 0 // the owner is this member, or is available and claims its units, or has claimed them in vain within the last lease
	}
	for unit := 1; unit < Units; unit++ {
		if units&(1<<unit) == 0 {
			continue
		}
		grant := &r.grants[owner][unit]
		renewal := grant.Holder == claimant && (grant.Incarnation == incarnation || !r.guardEnabled(GuardIncarnation))
		if r.now < grant.Expiry && !renewal && r.guardEnabled(GuardExclusive) {
			if byOwner && grant.Holder != claimant {
				r.ownerRefusedAt[owner] = r.now
			}
			continue
		}
		*grant = Grant{Holder: claimant, Incarnation: incarnation, Seq: seq, Expiry: r.now + r.cfg.Limits.Lease}
		granted |= 1 << unit
	}
	return granted
}

// countVotes counts one member's vote for units of an owner's quota. A unit with a majority of votes is held by a lease,
// which counts from when the unit was claimed.
func (r *Reducer) countVotes(round *claimRound, owner int, units Mask) {
	for unit := 1; unit < Units; unit++ {
		if units&round.ClaimedUnits[owner]&(1<<unit) == 0 {
			continue
		}
		if round.Votes[owner][unit]++; round.Votes[owner][unit] != r.majoritySize() {
			continue
		}
		expiry := round.StartedAt + r.cfg.Limits.holderLeaseDuration(r.cfg.Limits.Lease)
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

// dropExpired drops the leases that this member holds and its loans that have expired. Step calls it before it handles an event.
func (r *Reducer) dropExpired() {
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

// handleDatagram checks a datagram from another member and handles its message.
func (r *Reducer) handleDatagram(received Datagram) {
	if received.From < 0 || received.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	msg, err := decode(received.Data, r.cfg.TierSize)
	switch {
	case err != nil:
		r.counters.Malformed++
		return
	case int(msg.TierSize) != r.cfg.TierSize, received.From == r.cfg.Self:
		r.counters.UnknownSenders++
		return
	}
	r.lendableCounts[received.From] = msg.LendableCount
	for i := 0; i+1 < len(msg.QuotaRates); i += 2 {
		if cold := r.findColdServer(uint32(msg.QuotaRates[i])); cold != nil { // ignore servers that no ColdServer event has reported here
			cold.QuotaRates[received.From] = float64(msg.QuotaRates[i+1]) / 1000
		}
	}
	switch msg.Kind {
	case kindClaim:
		r.handleClaim(received.From, msg)
	case kindGrant:
		r.handleGrant(received.From, msg)
	case kindReturn:
		r.handleReturn(received.From, msg)
	case kindBorrow:
		r.handleBorrow(received.From, msg)
	case kindLend:
		r.handleLoan(received.From, msg)
	}
}

// findColdServer returns the state of a server that a ColdServer event has reported; nil if there is none.
func (r *Reducer) findColdServer(hash uint32) *coldServer {
	for i := range r.coldServers {
		if cold := &r.coldServers[i]; cold.ServerHash == hash && cold.QuotaRates[r.cfg.Self] >= 0 {
			return cold
		}
	}
	return nil
}

// handleClaim answers a claim with the units granted, if any.
func (r *Reducer) handleClaim(from int, msg message) {
	var items []int64
	for _, item := range msg.Items {
		owner, units := int(item>>Units), Mask(item)
		granted := r.voteOnClaim(from, msg.Incarnation, msg.Seq, owner, units)
		r.counters.VotesGranted += uint64(granted.Count())
		r.counters.VotesRefused += uint64((units &^ granted).Count())
		if granted != 0 {
			items = append(items, int64(owner)<<Units|int64(granted))
		}
	}
	if len(items) > 0 {
		r.send(from, message{Kind: kindGrant, Seq: msg.Seq, Items: items, QuotaRates: r.encodeOwnQuotaRates()})
	}
}

// handleGrant counts the votes in an answer to a claim. After a majority has answered, returnUnwon gives back about half of
// the units of other members' quotas that were not won, so that of two successors that split the votes one wins them in a later round.
func (r *Reducer) handleGrant(from int, msg message) {
	for i := range r.recentRounds {
		round := &r.recentRounds[i]
		if round.Seq != msg.Seq || slices.Contains(round.Voters, from) {
			continue
		}
		round.Voters = append(round.Voters, from)
		for _, item := range msg.Items {
			r.countVotes(round, int(item>>Units), Mask(item))
		}
		r.returnUnwon(round)
	}
}

// returnUnwon gives back, at the answer that completes a majority of answers to the last claim, units of other members'
// quotas that did not get a majority of votes and that this member does not hold, each with a probability of one half.
func (r *Reducer) returnUnwon(round *claimRound) {
	if len(round.Voters) != r.majoritySize() || round.Seq != r.lastClaimSeq {
		return
	}
	var items []int64
	for owner, units := range round.ClaimedUnits {
		var unwon Mask
		for unit := 1; unit < Units; unit++ {
			if units&(1<<unit) != 0 && r.heldExpiry[owner][unit] == 0 && round.Votes[owner][unit] < r.majoritySize() && owner != r.cfg.Self && r.rng.IntN(2) == 0 {
				unwon |= 1 << unit
			}
		}
		if unwon != 0 {
			items = append(items, int64(owner)<<Units|int64(unwon))
			round.ClaimedUnits[owner] &^= unwon // later votes for the units given back do not count
		}
	}
	if len(items) == 0 {
		return
	}
	returnMessage := message{Kind: kindReturn, Seq: round.Seq, Incarnation: r.incarnation, Items: items}
	for member := range r.cfg.TierSize {
		if member == r.cfg.Self {
			r.handleReturn(member, returnMessage)
		} else {
			r.send(member, returnMessage)
		}
	}
}

// handleReturn removes the grants of units that the holder gives back. A grant of a later claim, or to another
// incarnation of the holder, remains.
func (r *Reducer) handleReturn(from int, msg message) {
	for _, item := range msg.Items {
		for unit := 1; unit < Units; unit++ {
			if grant := &r.grants[item>>Units][unit]; Mask(item)&(1<<unit) != 0 && grant.Holder == from && grant.Incarnation == msg.Incarnation && grant.Seq <= msg.Seq {
				grant.Holder, grant.Expiry = -1, 0
			}
		}
	}
}

// send sends a message to a member, with tier size, incarnation and the number of lendable units filled in.
func (r *Reducer) send(to int, msg message) {
	msg.TierSize, msg.Incarnation, msg.LendableCount = uint16(r.cfg.TierSize), r.incarnation, uint8(r.lendableUnits().Count())
	if msg.Items == nil {
		msg.Items = []int64{}
	}
	if msg.QuotaRates == nil {
		msg.QuotaRates = []int64{}
	}
	data := datagram.Encode(Version, msg)
	for len(data) > datagram.MaxSize { // drop rates until the datagram fits: rates are sent with every round
		msg.QuotaRates = msg.QuotaRates[:len(msg.QuotaRates)-2]
		data = datagram.Encode(Version, msg)
	}
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
}
