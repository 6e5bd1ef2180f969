package proxier

import (
	"context"

	"github.com/heatherhall/heatherhall/detourer"
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// forwardWait identifies a statement that another daemon has forwarded over a
// link and that has no answer yet.
type forwardWait struct {
	link, work uint64
}

// executeForward executes the multiplexer's commands about carriers without
// blocking. The lock must be held.
func (p *Proxy) executeForward(command multiplexer.Command) {
	switch c := command.(type) {
	case multiplexer.Forward:
		p.spawn(func(ctx context.Context) { p.forward(ctx, c) })
	case multiplexer.EndForward:
		p.spawn(func(ctx context.Context) { p.links.End(ctx, c.Carrier.Address, c.Work) })
	case multiplexer.PingCarrier:
		p.spawn(func(ctx context.Context) {
			if p.links.Ping(ctx, c.Carrier.Address) == nil {
				p.mu.Lock()
				p.mux.CarrierResponded(p.clock.Now(), c.Carrier.Name)
				p.mu.Unlock()
			}
		})
	case multiplexer.AskLoad:
		asked := p.clock.Now()
		p.spawn(func(ctx context.Context) {
			if report, err := p.links.AskLoad(ctx, c.Host.Address, c.Group, c.Domain); err == nil {
				p.mu.Lock()
				p.mux.LoadReported(asked, c, report)
				p.mu.Unlock()
			}
		})
	case multiplexer.RenewLink:
		p.links.Renew(c.Carrier.Address)
	case multiplexer.ForwardReply:
		key := forwardWait{c.Link, c.Work}
		if wait := p.forwardWaits[key]; wait != nil {
			delete(p.forwardWaits, key)
			wait <- c.Answer
		}
	}
}

// forward sends a statement to its carrier and passes the answer to the
// multiplexer.
func (p *Proxy) forward(ctx context.Context, c multiplexer.Forward) {
	answer, sent, err := p.links.Forward(ctx, c.Carrier.Address, c.Request)
	p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command {
		if err != nil {
			return p.mux.ForwardLost(now, c.Request.Work, sent)
		}
		return p.mux.ForwardAnswered(now, c.Request.Work, answer)
	})
}

// freeForwardSize is the size in bytes up to which other daemons' statements need no
// reservation.
const freeForwardSize = 16 << 10

// holdForwarded reserves memory for another daemon's statement. It reports false if there
// is none: then the other daemon is to run the statement elsewhere.
func (p *Proxy) holdForwarded(r multiplexer.ForwardRequest) (release func(), held bool) {
	size := len(r.Statement.Args) + len(r.Shape)
	for name, value := range r.Values {
		size += len(name) + len(value)
	}
	if p.deps.Hold == nil || size <= freeForwardSize {
		return func() {}, true
	}
	return p.deps.Hold("another daemon", int64(size)*forwardCopies)
}

// forwardCopies is how many times another daemon's statement is in memory: as it
// arrived, decoded, and encoded for the server.
const forwardCopies = 3

// runForwarded runs a statement for another daemon and waits for its answer.
func (p *Proxy) runForwarded(ctx context.Context, link uint64, request multiplexer.ForwardRequest) (multiplexer.ForwardAnswer, error) {
	release, held := p.holdForwarded(request)
	if !held {
		if request.Start == multiplexer.StartContinue {
			p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.EndForwarded(now, link, request.Work) })
		}
		return multiplexer.ForwardAnswer{Unavailable: true}, nil
	}
	defer release()
	key := forwardWait{link, request.Work}
	wait := make(chan multiplexer.ForwardAnswer, 1)
	p.mu.Lock()
	if p.forwardWaits[key] != nil {
		p.mu.Unlock()
		return multiplexer.ForwardAnswer{}, &Error{Op: "run forwarded statement", Kind: KindDuplicate, Text: "a statement of the work is in progress"}
	}
	p.forwardWaits[key] = wait
	p.execute(p.mux.RunForwarded(p.clock.Now(), link, request))
	p.mu.Unlock()
	select {
	case answer := <-wait:
		return answer, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.forwardWaits, key)
		p.mu.Unlock()
		return multiplexer.ForwardAnswer{}, ctx.Err()
	}
}

// forwardHandler returns the functions that serve other daemons' forwarded work.
func (p *Proxy) forwardHandler() detourer.ForwardHandler {
	return detourer.ForwardHandler{
		Run: p.runForwarded,
		Load: func(group, domain string) multiplexer.LoadReport {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.mux.LoadReport(p.clock.Now(), group, domain)
		},
		End: func(link, work uint64) {
			p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.EndForwarded(now, link, work) })
		},
		LinkClosed: func(link uint64) {
			p.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return p.mux.EndForwardedLink(now, link) })
		},
	}
}
