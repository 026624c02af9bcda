package cassiaquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
)

const (
	// maxWait is how long a request waits for grants. It allows for three coordinators that are asked in turn.
	maxWait = 60 * time.Millisecond
	// replyTimeout is how long a coordinator may take to reply until the next one is asked. A round trip between availability zones is 8 ms.
	replyTimeout = 20 * time.Millisecond
	// A coordinator that does not reply is asked last for minAvoidPeriod, twice as long after each further failure up to maxAvoidPeriod.
	// One that declines is avoided for declinedAvoidPeriod, since it begins to coordinate when a wait is over.
	minAvoidPeriod      = 250 * time.Millisecond
	maxAvoidPeriod      = 2 * time.Second
	declinedAvoidPeriod = 200 * time.Millisecond
	// demandHalfLife is the time in which the estimate of the demand loses half of its weight.
	demandHalfLife = time.Second
	// maxAhead is the number of grants that a VM asks for in advance at most.
	maxAhead = 64
	// minUnknownRetryAfter is when the first callers may come back that were refused without a coordinator; the others are spread over as
	// long. A coordinator that is lost is replaced within seconds, and other coordinators reply in milliseconds.
	minUnknownRetryAfter = 500 * time.Millisecond
	// unknownReturnSteps is the number of times over which these callers are spread.
	unknownReturnSteps = 16
)

// RequestID identifies a request that waits for a grant.
type RequestID uint64

// Token admits one request of a team. It may be returned if the request did not run.
type Token struct {
	Team    cassiaid.TeamName
	expires cassiaclock.BootTime
}

// Verdict is the decision on a request.
type Verdict int

// Values of Verdict.
const (
	// Admitted means that the request may run.
	Admitted Verdict = iota
	// OverQuota means that the team has used up its quota.
	OverQuota
	// Unknown means that too few coordinators replied to tell, and that the reserve is spent.
	Unknown
)

// Effect is what the caller of a Holder has to do: Ask, Decided or WakeAt.
type Effect interface{ isEffect() }

// Ask asks a coordinator for grants; Replied or Failed has to follow. The coordinator may be this VM.
type Ask struct {
	VM      cassiaid.VMName
	Demands []Demand
}

// Decided ends the wait of a request.
type Decided struct {
	Request RequestID
	Verdict Verdict
	// Token is set if the request is admitted, RetryAfter if it is refused.
	Token      Token
	RetryAfter time.Duration
}

// Avoided reports that a coordinator did not reply in time.
type Avoided struct{ VM cassiaid.VMName }

func (Ask) isEffect()     {}
func (Decided) isEffect() {}
func (Avoided) isEffect() {}

// Holder holds the grants of a VM and decides on requests with them. It asks a coordinator one question at a time, for all requests that
// wait then. It is not safe for concurrent use.
type Holder struct {
	settings Settings
	standing *Standing
	teams    map[cassiaid.TeamName]*holding
	// active holds the teams with requests that wait or grants to ask for in advance.
	active []*holding
	// peers holds the coordinators that were asked, in the order of their names.
	peers    []*peer
	requests map[RequestID]*request
	lastID   RequestID
	// unknown counts the requests that were refused as Unknown.
	unknown int
	effects []Effect
}

// holding is what a VM holds for one team.
type holding struct {
	name   cassiaid.TeamName
	limits Limits
	// grants are in the order in which they came.
	grants  []held
	waiting []*request
	// recent is the exponentially decayed number of requests as of lastAt.
	recent float64
	lastAt cassiaclock.BootTime
	// turn is the coordinator that the next request asks first, so that all parts are used alike.
	turn int
	// reservedAt is when the reserve was last used; 0 if it was not.
	reservedAt cassiaclock.BootTime
}

// held is a number of grants that expire at the same time.
type held struct {
	count   int
	expires cassiaclock.BootTime
}

// request is a request that waits.
type request struct {
	id       RequestID
	holding  *holding
	deadline cassiaclock.BootTime
	// order holds the coordinators to ask, next the position of the one that is asked or is next.
	order []share
	next  int
	// asked is the exchange that the request waits for; nil if its coordinator is still to be asked.
	asked *exchange
	// refused and silent are the numbers of parts whose coordinators refused the request, or did not reply.
	refused, silent int
	// late is the number of exchanges that the request was part of and that are late.
	late       int
	retryAfter time.Duration
}

// share is a coordinator with the number of parts of one quota that it coordinates.
type share struct {
	vm    cassiaid.VMName
	parts int
}

// peer is a coordinator.
type peer struct {
	vm         cassiaid.VMName
	exchange   *exchange
	failures   int
	avoidUntil cassiaclock.BootTime
}

// exchange is a question to a coordinator that has no reply yet.
type exchange struct {
	startedAt cassiaclock.BootTime
	// sent is true once the question was sent, late once the coordinator has not replied in time.
	sent, late bool
	requests   []*request
	demands    []Demand
}

// NewHolder returns a holder without grants.
func NewHolder(settings Settings, standing *Standing) *Holder {
	return &Holder{settings: settings, standing: standing, teams: make(map[cassiaid.TeamName]*holding),
		requests: make(map[RequestID]*request)}
}

// SetTeams replaces the teams. What is held is kept until it expires.
func (h *Holder) SetTeams(teams *cassiacatalog.Teams) {
	for name, t := range h.teams {
		team := teams.Team(name)
		switch {
		case team != nil && team.Quota.Limited():
			t.limits = h.settings.Limits(team.Quota)
		case len(t.waiting) == 0:
			delete(h.teams, name)
			h.active = slices.DeleteFunc(h.active, func(o *holding) bool { return o == t })
		}
	}
}

// activate has grants asked for a team.
func (h *Holder) activate(t *holding) {
	if !slices.Contains(h.active, t) {
		h.active = append(h.active, t)
	}
}

func (h *Holder) holding(team *cassiacatalog.Team) *holding {
	t := h.teams[team.Name]
	if t == nil {
		t = &holding{name: team.Name, limits: h.settings.Limits(team.Quota)}
		h.teams[team.Name] = t
	}
	return t
}

// Request decides on a request. If it has to wait, its id is returned, and Decided follows.
func (h *Holder) Request(now cassiaclock.BootTime, team *cassiacatalog.Team) (token Token, id RequestID, effects []Effect) {
	h.effects = nil
	t := h.holding(team)
	t.observe(now)
	if token, ok := t.take(now); ok {
		if ahead := t.ahead(); t.held(now) < (ahead+1)/2 {
			h.activate(t)
			h.ask(now)
		}
		return token, 0, h.effects
	}
	h.lastID++
	r := &request{id: h.lastID, holding: t, deadline: now.Add(maxWait)}
	h.requests[r.id] = r
	r.order, r.silent = h.order(now, t)
	t.waiting = append(t.waiting, r)
	h.activate(t)
	h.askFor(now, r)
	h.send()
	return Token{}, r.id, h.effects
}

// Cancel ends the wait of a request whose caller has left.
func (h *Holder) Cancel(id RequestID) {
	if r := h.requests[id]; r != nil {
		h.remove(r)
	}
}

// Return takes back the token of a request that did not run.
func (h *Holder) Return(now cassiaclock.BootTime, token Token) []Effect {
	h.effects = nil
	if t := h.teams[token.Team]; t != nil && now < token.expires {
		t.grants = append(t.grants, held{count: 1, expires: token.expires})
		h.serveWaiting(now, t)
	}
	return h.effects
}

// Replied handles the reply of a coordinator to the last Ask. A team without a grant is one that it does not coordinate.
func (h *Holder) Replied(now cassiaclock.BootTime, vm cassiaid.VMName, grants []Grant) []Effect {
	h.effects = nil
	p := h.peer(vm)
	if p.exchange == nil {
		return nil
	}
	e := p.exchange
	p.exchange, p.failures, p.avoidUntil = nil, 0, 0
	if len(grants) == 0 && len(e.demands) > 0 {
		p.avoidUntil = now.Add(declinedAvoidPeriod)
	}
	byTeam := make(map[*holding]Grant, len(grants))
	for _, g := range grants {
		if t := h.teams[g.Team]; t != nil {
			byTeam[t] = g
			if g.Count > 0 {
				t.grants = append(t.grants, held{count: g.Count, expires: e.startedAt.Add(min(g.Lifetime, t.limits.Lifetime))})
			}
		}
	}
	// What was asked for goes first to those for whom it was; the others may still get what they asked for.
	for _, r := range e.requests {
		if r.asked == e && h.requests[r.id] == r {
			h.admit(now, r)
		}
	}
	for _, g := range grants {
		if t := h.teams[g.Team]; t != nil {
			h.serveWaiting(now, t)
		}
	}
	refused := make(map[*holding]int)
	for _, r := range e.requests {
		if h.requests[r.id] != r {
			continue
		}
		g, replied := byTeam[r.holding]
		if replied {
			r.promise(g.RetryAfter, refused[r.holding])
			refused[r.holding]++
		}
		h.answered(now, r, e, vm, replied)
	}
	h.ask(now)
	return h.effects
}

// Failed records that a coordinator did not reply to the last Ask.
func (h *Holder) Failed(now cassiaclock.BootTime, vm cassiaid.VMName) []Effect {
	h.effects = nil
	p := h.peer(vm)
	if p.exchange == nil {
		return nil
	}
	e := p.exchange
	if !e.late {
		h.avoid(now, p)
	}
	p.exchange = nil
	for _, r := range e.requests {
		if h.requests[r.id] == r {
			h.answered(now, r, e, vm, false)
		}
	}
	h.ask(now)
	return h.effects
}

// Tick handles the times that NextWake returned.
func (h *Holder) Tick(now cassiaclock.BootTime) []Effect {
	h.effects = nil
	for _, p := range h.peers {
		if p.exchange != nil && !p.exchange.late && now.Sub(p.exchange.startedAt) >= replyTimeout {
			h.setLate(now, p)
		}
	}
	for _, t := range h.active {
		for _, r := range slices.Clone(t.waiting) {
			if now >= r.deadline {
				r.silent += partsOf(r.order[r.next:])
				h.refuse(now, r)
			}
		}
	}
	h.ask(now)
	return h.effects
}

// NextWake returns when Tick is needed, or 0 if it is not.
func (h *Holder) NextWake() cassiaclock.BootTime {
	var next cassiaclock.BootTime
	sooner := func(t cassiaclock.BootTime) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, p := range h.peers {
		if p.exchange != nil && !p.exchange.late {
			sooner(p.exchange.startedAt.Add(replyTimeout))
		}
	}
	for _, t := range h.active {
		if len(t.waiting) > 0 {
			sooner(t.waiting[0].deadline)
		}
	}
	return next
}

// order returns the coordinators to ask for a request of a team, without those that are avoided unless all are, and the number of parts
// of these.
func (h *Holder) order(now cassiaclock.BootTime, t *holding) (order []share, avoided int) {
	var all []share
	for _, vm := range h.standing.coordinatorsOf(t.name, t.limits.Parts) {
		i := slices.IndexFunc(all, func(s share) bool { return s.vm == vm })
		if i < 0 {
			all = append(all, share{vm: vm, parts: 1})
			continue
		}
		all[i].parts++
	}
	if len(all) == 0 {
		return nil, t.limits.Parts
	}
	t.turn = (t.turn + 1) % len(all)
	for i := range all {
		s := all[(t.turn+i)%len(all)]
		if p := h.peer(s.vm); now < p.avoidUntil || p.exchange != nil && p.exchange.late {
			avoided += s.parts
			continue
		}
		order = append(order, s)
	}
	if len(order) == 0 {
		return all, 0
	}
	return order, avoided
}

func partsOf(shares []share) int {
	parts := 0
	for _, s := range shares {
		parts += s.parts
	}
	return parts
}

// ask asks each coordinator that is needed and has no question to answer.
func (h *Holder) ask(now cassiaclock.BootTime) {
	for _, t := range h.active {
		for _, r := range slices.Clone(t.waiting) {
			h.askFor(now, r)
		}
		if len(t.waiting) == 0 {
			if order, _ := h.order(now, t); t.held(now) < t.ahead() && len(order) > 0 {
				if e := h.begin(now, order[0].vm); e != nil {
					e.demand(now, t, 0)
				}
			}
		}
	}
	h.active = slices.DeleteFunc(h.active, func(t *holding) bool { return len(t.waiting) == 0 })
	h.send()
}

// send sends the questions that were put together.
func (h *Holder) send() {
	for _, p := range h.peers {
		if p.exchange != nil && !p.exchange.sent {
			p.exchange.sent = true
			h.effects = append(h.effects, Ask{VM: p.vm, Demands: p.exchange.demands})
		}
	}
}

// askFor adds a request that waits to the question for its coordinator. Coordinators that did not reply in time are left out.
func (h *Holder) askFor(now cassiaclock.BootTime, r *request) {
	for r.asked == nil && r.next < len(r.order) {
		vm := r.order[r.next].vm
		if e := h.begin(now, vm); e != nil {
			e.demand(now, r.holding, 1)
			e.requests = append(e.requests, r)
			r.asked = e
			return
		}
		if !h.peer(vm).exchange.late || r.refused == 0 && r.next == len(r.order)-1 {
			return
		}
		r.silent += r.order[r.next].parts
		r.next++
	}
	h.settle(now, r)
}

// begin returns the question to a coordinator that is being put together, or nil if an earlier one has no reply yet.
func (h *Holder) begin(now cassiaclock.BootTime, vm cassiaid.VMName) *exchange {
	p := h.peer(vm)
	if p.exchange == nil {
		p.exchange = &exchange{startedAt: now}
	}
	if p.exchange.sent {
		return nil
	}
	return p.exchange
}

// peer returns the state of a coordinator.
func (h *Holder) peer(vm cassiaid.VMName) *peer {
	i, known := slices.BinarySearchFunc(h.peers, vm, func(p *peer, vm cassiaid.VMName) int { return cmp.Compare(p.vm, vm) })
	if !known {
		h.peers = slices.Insert(h.peers, i, &peer{vm: vm})
	}
	return h.peers[i]
}

// Forget drops the state of VMs that are no candidates any more.
func (h *Holder) Forget() {
	candidates := h.standing.Candidates()
	h.peers = slices.DeleteFunc(h.peers, func(p *peer) bool { return p.exchange == nil && !slices.Contains(candidates, p.vm) })
}

// demand adds a number of requests that wait to the demand of a team, which includes what the team needs in advance.
func (e *exchange) demand(now cassiaclock.BootTime, t *holding, needed int) {
	i := slices.IndexFunc(e.demands, func(d Demand) bool { return d.Team == t.name })
	if i < 0 {
		e.demands = append(e.demands, Demand{Team: t.name, Wanted: max(0, t.ahead()-t.held(now))})
		i = len(e.demands) - 1
	}
	e.demands[i].Needed += needed
	e.demands[i].Wanted += needed
}

// avoid has a coordinator asked last for some time, since it did not reply in time.
func (h *Holder) avoid(now cassiaclock.BootTime, p *peer) {
	p.avoidUntil = now.Add(cassiabackoff.Delay(minAvoidPeriod, maxAvoidPeriod, p.failures))
	p.failures++
	h.effects = append(h.effects, Avoided{VM: p.vm})
}

// setLate lets the requests that wait for a coordinator go on with the next one.
func (h *Holder) setLate(now cassiaclock.BootTime, p *peer) {
	e := p.exchange
	e.late = true
	h.avoid(now, p)
	for _, r := range e.requests {
		if h.requests[r.id] == r {
			r.late++
			h.goOn(now, r, false)
		}
	}
}

// promise records when a coordinator lets the caller of a request come back, after a number of others.
func (r *request) promise(retryAfter time.Duration, ahead int) {
	retryAfter += r.holding.limits.returnDelay(ahead)
	if retryAfter <= 0 {
		// The grant expired on its way.
		retryAfter = r.holding.limits.returnDelay(1)
	}
	if r.retryAfter == 0 || retryAfter < r.retryAfter {
		r.retryAfter = retryAfter
	}
}

// answered records the end of an exchange that a request was part of, without a grant for it.
func (h *Holder) answered(now cassiaclock.BootTime, r *request, e *exchange, vm cassiaid.VMName, replied bool) {
	if !e.late {
		h.goOn(now, r, replied)
		return
	}
	r.late--
	if i := slices.IndexFunc(r.order, func(s share) bool { return s.vm == vm }); replied && i >= 0 {
		r.silent -= r.order[i].parts
		r.refused += r.order[i].parts
	}
	h.settle(now, r)
}

// goOn records what the coordinator of a request did, and has the next one asked.
func (h *Holder) goOn(now cassiaclock.BootTime, r *request, replied bool) {
	if replied {
		r.refused += r.order[r.next].parts
	} else {
		r.silent += r.order[r.next].parts
	}
	r.asked = nil
	r.next++
	h.settle(now, r)
}

// settle refuses a request that has no coordinator left to ask. While none has replied, it waits for those that are late.
func (h *Holder) settle(now cassiaclock.BootTime, r *request) {
	if r.asked == nil && r.next >= len(r.order) && (r.refused > 0 || r.late == 0) {
		h.refuse(now, r)
	}
}

// refuse ends the wait of a request for which no grant came. The reserve takes the place of coordinators that did not reply; without it the
// request is over the quota if most parts refused it.
func (h *Holder) refuse(now cassiaclock.BootTime, r *request) {
	h.remove(r)
	t := r.holding
	if r.silent > 0 && h.takeReserve(now, t) {
		h.effects = append(h.effects, Decided{Request: r.id, Verdict: Admitted, Token: Token{Team: t.name, expires: now}})
		return
	}
	if r.refused > r.silent {
		h.effects = append(h.effects, Decided{Request: r.id, Verdict: OverQuota, RetryAfter: r.retryAfter})
		return
	}
	h.unknown++
	step := minUnknownRetryAfter / unknownReturnSteps * time.Duration(h.unknown%unknownReturnSteps)
	h.effects = append(h.effects, Decided{Request: r.id, Verdict: Unknown, RetryAfter: minUnknownRetryAfter + step})
}

// takeReserve uses this VM's part of the team's reserve, one request in each window.
func (h *Holder) takeReserve(now cassiaclock.BootTime, t *holding) bool {
	if !h.standing.holdsReserve(now, slotOf(t.name), t.limits.Reserve) || t.reservedAt != 0 && now.Sub(t.reservedAt) < h.settings.window()+queueAllowance {
		return false
	}
	t.reservedAt = now
	return true
}

func (h *Holder) remove(r *request) {
	delete(h.requests, r.id)
	// Requests leave in nearly the order in which they came, so the search is short.
	if i := slices.Index(r.holding.waiting, r); i >= 0 {
		r.holding.waiting = slices.Delete(r.holding.waiting, i, i+1)
	}
}

// serveWaiting gives what is held to the requests that wait.
func (h *Holder) serveWaiting(now cassiaclock.BootTime, t *holding) {
	for len(t.waiting) > 0 && h.admit(now, t.waiting[0]) {
	}
}

// admit admits a request that waits if a grant is held.
func (h *Holder) admit(now cassiaclock.BootTime, r *request) bool {
	token, ok := r.holding.take(now)
	if ok {
		h.remove(r)
		h.effects = append(h.effects, Decided{Request: r.id, Verdict: Admitted, Token: token})
	}
	return ok
}

// observe counts a request in the estimate of the demand.
func (t *holding) observe(now cassiaclock.BootTime) {
	t.recent = t.recent*math.Exp2(-now.Sub(t.lastAt).Seconds()/demandHalfLife.Seconds()) + 1
	t.lastAt = now
}

// ahead returns how many grants the VM wants in advance: those for half of their lifetime, and one spare grant where less than one is
// expected but the next request may come within it.
func (t *holding) ahead() int {
	perSecond := (t.recent - 1) * math.Ln2 / demandHalfLife.Seconds()
	return min(int(math.Round(perSecond*t.limits.Lifetime.Seconds()/2+0.25)), maxAhead)
}

// take removes a grant that has not expired, and drops those that have.
func (t *holding) take(now cassiaclock.BootTime) (Token, bool) {
	for len(t.grants) > 0 {
		g := &t.grants[0]
		if now >= g.expires || g.count == 0 {
			t.grants = t.grants[1:]
			continue
		}
		g.count--
		return Token{Team: t.name, expires: g.expires}, true
	}
	t.grants = nil
	return Token{}, false
}

// held returns the number of grants that have not expired.
func (t *holding) held(now cassiaclock.BootTime) int {
	n := 0
	for _, g := range t.grants {
		if now < g.expires {
			n += g.count
		}
	}
	return n
}
