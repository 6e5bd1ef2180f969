package proxier

import (
	"context"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// newLimits returns the limiter of a daemon whose catalog mux has, and adds it to the
// functions that the multiplexer needs.
func newLimits(settings Settings, muxDeps *multiplexer.Deps, account func(name string) (cataloger.Account, bool)) *limiter.Limiter {
	limits := limiter.New(settings.Host.Incarnation, limiter.Deps{Log: muxDeps.Log, Account: account})
	muxDeps.Admit, muxDeps.CancelAdmission, muxDeps.Charge, muxDeps.Refund = limits.Admit, limits.Cancel, limits.Charge, limits.Refund
	return limits
}

// tickLimits runs the limiter's timers. Without accounts it does nothing.
func (c *core) tickLimits(now timekeeper.Millis) {
	if !c.mux.HasAccounts() {
		return
	}
	if version := c.mux.CatalogVersion(); version != c.limitsCatalog {
		c.limitsCatalog = version
		c.limits.SetLargest(c.mux.LargestAccounts(separateAccounts))
	}
	if c.elector.HostsKnown() {
		c.limits.SetPlacement(now, c.placement(now))
	}
	c.limits.Tick(now)
}

// executeLimits sends the limiter's messages and passes its decisions to the
// multiplexer. The lock must be held.
func (p *Proxy) executeLimits() {
	now := p.clock.Now()
	if p.ctx.Err() != nil {
		return
	}
	messages, decisions := p.limits.Take(now)
	for _, m := range messages {
		p.spawn(func(ctx context.Context) { p.sendLimits(ctx, m) })
	}
	if len(decisions) > 0 {
		p.execute(p.mux.Admitted(now, decisions))
	}
}

// sendLimits sends a message of the limiter and passes the answer back to it.
func (p *Proxy) sendLimits(ctx context.Context, m limiter.Message) {
	var tokens limiter.TokensAnswer
	var demand limiter.DemandAnswer
	var err error
	if m.Tokens != nil {
		tokens, err = p.links.Tokens(ctx, m.To.Address, *m.Tokens)
	} else {
		demand, err = p.links.Demand(ctx, m.To.Address, *m.Demand)
	}
	p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command {
		switch {
		case err != nil:
			p.limits.Lost(now, m.ID)
		case m.Tokens != nil:
			p.limits.TokensAnswered(now, m.ID, tokens)
		default:
			p.limits.DemandAnswered(now, m.ID, demand)
		}
		return nil
	})
}

// limitHandler returns the functions that serve other daemons' messages about rate
// limits.
func (p *Proxy) limitHandler() detourer.LimitHandler {
	return detourer.LimitHandler{
		Tokens: func(request limiter.TokensRequest) limiter.TokensAnswer {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.limits.HandleTokens(p.clock.Now(), request)
		},
		Demand: func(request limiter.DemandRequest) (answer limiter.DemandAnswer) {
			p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command {
				answer = p.limits.HandleDemand(now, request)
				return nil
			})
			return answer
		},
	}
}
