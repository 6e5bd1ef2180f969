package limiter

import "github.com/heatherhall/heatherhall/timekeeper"

const (
	// borrowTime is how long a gateway waits while its coordinator asks another
	// domain's for tokens.
	borrowTime timekeeper.Millis = 10
	// minEmptyTime and maxEmptyTime bound how long a domain is not asked that had too
	// few tokens, and lostLoanPause that for one that did not answer.
	minEmptyTime, maxEmptyTime, lostLoanPause timekeeper.Millis = 20, 100, 1000
	// loanAhead is the time whose demand a coordinator asks tokens for, beside those that
	// it needs at once.
	loanAhead timekeeper.Millis = 200
	// loanReserve is the time whose own demand a domain keeps tokens for.
	loanReserve timekeeper.Millis = 100
)

// loan is a coordinator's attempt to get tokens of an account from other domains, whose
// rate shares may exceed their demand for a moment.
type loan struct {
	// wanted is how many tokens to ask for, and domain that of the coordinator to ask.
	wanted int
	domain string
	// inFlight says that the request is sent.
	inFlight bool
	// emptyUntil is until when a domain is not asked.
	emptyUntil map[string]timekeeper.Millis
}

// borrow asks another domain for tokens, and reports whether one may have some.
func (s *shard) borrow(now timekeeper.Millis, t *tally, wanted int) bool {
	if s.role != roleFirst {
		return false
	}
	if t.loan.inFlight {
		return true
	}
	best, soon := "", false
	for _, domain := range sortedBy(s.peers) {
		p := s.peers[domain]
		if wait := t.loan.emptyUntil[domain] - now; wait > 0 {
			soon = soon || wait <= minEmptyTime+borrowTime
			continue
		}
		if p.host.Name == "" || p.removedAt > 0 {
			continue
		}
		if best == "" || t.gift(domain).demand < t.gift(best).demand {
			best = domain
		}
	}
	t.loan.wanted, t.loan.domain = wanted, best
	if best == "" {
		return soon
	}
	s.borrowing = append(s.borrowing, t)
	return true
}

// loans returns the requests for tokens to other domains' coordinators.
func (s *shard) loans() []Message {
	var out []Message
	byDomain := map[string]*TokensRequest{}
	for _, t := range s.borrowing {
		if t.loan.inFlight || t.loan.domain == "" {
			continue
		}
		t.loan.inFlight = true
		r := byDomain[t.loan.domain]
		if r == nil {
			r = &TokensRequest{Shard: s.number, Domain: s.coord.placement.Self().Domain}
			byDomain[t.loan.domain] = r
		}
		r.Items = append(r.Items, TokensItem{Account: t.account.Name, Need: t.loan.wanted})
	}
	s.borrowing = s.borrowing[:0]
	for _, domain := range sortedBy(byDomain) {
		out = append(out, Message{To: s.peers[domain].host, Tokens: byDomain[domain], borrowedFrom: domain})
	}
	return out
}

// lend gives tokens to another domain's coordinator.
func (s *shard) lend(now timekeeper.Millis, r TokensRequest) TokensAnswer {
	var a TokensAnswer
	for _, item := range r.Items {
		t := s.tally(now, item.Account)
		if t == nil {
			continue
		}
		rate := s.refill(now, t)
		own := t.recentDemand(now)
		spare := int(t.bucket.Tokens - own*float64(loanReserve)/1000)
		out := TokensGrant{Account: item.Account, Granted: t.bucket.Take(min(item.Need, max(0, spare)), 0)}
		if out.Granted < item.Need {
			out.Retry = maxEmptyTime
			if own < rate {
				out.Retry = max(1, t.bucket.Due(1+own*float64(loanReserve)/1000, rate-own))
			}
		}
		a.Items = append(a.Items, out)
	}
	return a
}

// recentDemand returns an account's demand. It follows a sudden decrease soon.
func (t *tally) recentDemand(now timekeeper.Millis) float64 {
	elapsed := now - t.countedAt
	if elapsed < loanReserve {
		return t.demand
	}
	return min(t.demand, float64(t.counted+1)*1000/float64(elapsed))
}

// borrowed handles the answer of another domain's coordinator.
func (c *Coordinator) borrowed(now timekeeper.Millis, r TokensRequest, domain string, a TokensAnswer) {
	if r.Shard >= len(c.shards) {
		return
	}
	s := c.shards[r.Shard]
	granted := map[string]TokensGrant{}
	for _, item := range a.Items {
		granted[item.Account] = item
	}
	for _, item := range r.Items {
		t := s.accounts[item.Account]
		if t == nil {
			continue
		}
		t.loan.inFlight = false
		if t.loan.emptyUntil == nil {
			t.loan.emptyUntil = map[string]timekeeper.Millis{}
		}
		got, found := granted[item.Account]
		switch {
		case a.Unavailable || !found:
			t.loan.emptyUntil[domain] = now + lostLoanPause
		case got.Granted < item.Need:
			t.loan.emptyUntil[domain] = now + min(max(got.Retry, minEmptyTime), maxEmptyTime)
		}
		if s.granting {
			s.refill(now, t)
			t.bucket.Tokens += float64(min(got.Granted, item.Need))
		}
	}
}
