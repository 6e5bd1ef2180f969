package promoter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

func pos(term, offset int64) sequencer.Position {
	return sequencer.Position{Term: term, Offset: offset}
}

var firstTerm = sequencer.History{{Term: 1}}

func primaryView(lastReport timekeeper.Millis, responsive bool) promoter.ServerView {
	return promoter.ServerView{Name: "p", LastReport: lastReport, Reported: true, Responsive: responsive, Report: sequencer.Report{
		Role: sequencer.RolePrimary, PromisedTerm: 1, Received: pos(1, 9), Applied: pos(1, 9), History: firstTerm, UpstreamIdleMillis: -1,
	}}
}

func replicaView(name string, lastReport timekeeper.Millis, idle int64, received sequencer.Position) promoter.ServerView {
	return promoter.ServerView{Name: name, LastReport: lastReport, Reported: true, Responsive: true, Report: sequencer.Report{
		Role: sequencer.RoleReplica, PromisedTerm: 1, Received: received, Applied: received, History: firstTerm, UpstreamIdleMillis: idle,
	}}
}

func newPromoter() *promoter.Promoter {
	return promoter.New(promoter.DefaultSettings(), "db", "h1", nil)
}

// tickFor2s ticks a promoter for 2 s of virtual time and returns its commands.
func tickFor2s(p *promoter.Promoter, views func(now timekeeper.Millis) []promoter.ServerView) []promoter.Command {
	var out []promoter.Command
	for now := timekeeper.Millis(10_000); now < 12_000; now += 20 {
		out = append(out, p.Tick(now, views(now), 0)...)
	}
	return out
}

func TestChangeReason(t *testing.T) {
	tests := map[string]struct {
		views func(now timekeeper.Millis) []promoter.ServerView
		want  string
	}{
		"healthy": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(now, true), replicaView("a", now, 50, pos(1, 9)), replicaView("b", now, 50, pos(1, 9))}
		}, ""},
		"primary unresponsive, its streams idle": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(10_000, false), replicaView("a", now, 900, pos(1, 9)), replicaView("b", now, 900, pos(1, 8))}
		}, "promoter.Claim"},
		"only this host is partitioned": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(10_000, false), replicaView("a", now, 50, pos(1, 9)), replicaView("b", now, 50, pos(1, 9))}
		}, ""},
		"one replica's stream is intact": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(10_000, false), replicaView("a", now, 900, pos(1, 9)), replicaView("b", now, 50, pos(1, 9))}
		}, ""},
		"slow streams, primary responsive": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(now, true), replicaView("a", now, 900, pos(1, 9)), replicaView("b", now, 900, pos(1, 9))}
		}, ""},
		"this host reaches no majority": {func(now timekeeper.Millis) []promoter.ServerView {
			a := replicaView("a", now, 900, pos(1, 9))
			a.Responsive = false
			return []promoter.ServerView{primaryView(10_000, false), a, replicaView("b", now, 900, pos(1, 9))}
		}, ""},
		"one stream broken, primary responsive": {func(now timekeeper.Millis) []promoter.ServerView {
			return []promoter.ServerView{primaryView(now, true), replicaView("a", now, 2000, pos(1, 9)), replicaView("b", now, 50, pos(1, 9))}
		}, "promoter.Follow"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var kinds []string
			for _, c := range tickFor2s(newPromoter(), test.views) {
				kinds = append(kinds, fmt.Sprintf("%T", c))
			}
			if test.want == "" && len(kinds) > 0 || !strings.Contains(strings.Join(kinds, " "), test.want) {
				t.Errorf("commands: got %v, want %q", kinds, test.want)
			}
		})
	}
}

// tickUntilClaim ticks a promoter until it emits a claim and returns the time
// and the claim.
func tickUntilClaim(t *testing.T, p *promoter.Promoter, views []promoter.ServerView) (timekeeper.Millis, promoter.Claim) {
	t.Helper()
	for now := timekeeper.Millis(10_000); now < 12_000; now += 20 {
		for _, c := range p.Tick(now, views, 0) {
			if claim, ok := c.(promoter.Claim); ok {
				return now, claim
			}
		}
	}
	t.Fatal("no claim within 2 s")
	return 0, promoter.Claim{}
}

// unresponsivePrimary returns the views of a group whose primary responds
// neither to this host nor to its two replicas.
func unresponsivePrimary() []promoter.ServerView {
	return []promoter.ServerView{primaryView(9000, false), replicaView("a", 10_000, 900, pos(1, 8)), replicaView("b", 10_000, 900, pos(1, 9))}
}

func TestPromotesHighest(t *testing.T) {
	p := newPromoter()
	views := unresponsivePrimary()
	now, claim := tickUntilClaim(t, p, views)
	if fences := p.ClaimFinished(now, claim.Attempt, true, claim.Row, views); len(fences) != 3 {
		t.Fatalf("fences: got %v, want one for each server", fences)
	}
	fenced := func(name string, received sequencer.Position) []promoter.Command {
		report := sequencer.Report{Role: sequencer.RoleFenced, PromisedTerm: claim.Row.Term, Received: received, Applied: received, History: firstTerm}
		return p.FenceFinished(now, claim.Attempt, name, true, report, views)
	}
	if out := fenced("a", pos(1, 8)); len(out) != 0 {
		t.Fatalf("commands with one server fenced: got %v, want none", out)
	}
	out := fenced("b", pos(1, 9))
	want := promoter.Promote{Attempt: claim.Attempt, Server: "b", Term: 2}
	if len(out) != 1 || out[0] != want {
		t.Fatalf("got %v, want %v", out, want)
	}
	report := sequencer.Report{Role: sequencer.RolePrimary, PromisedTerm: 2, History: firstTerm.WithTerm(2, 9)}
	out = p.PromotionFinished(now, claim.Attempt, true, report, views)
	if len(out) != 3 || p.Busy() {
		t.Fatalf("after the promotion: got %v, busy %v, want a Publish and two Follow commands", out, p.Busy())
	}
}

// TestFailedAttempt guards against an attempt that does not end when a step
// fails, and against a next attempt that claims the same term again.
func TestFailedAttempt(t *testing.T) {
	tests := map[string]func(p *promoter.Promoter, now timekeeper.Millis, claim promoter.Claim, views []promoter.ServerView){
		"another host claimed a higher term": func(p *promoter.Promoter, now timekeeper.Millis, claim promoter.Claim, views []promoter.ServerView) {
			p.ClaimFinished(now, claim.Attempt, false, promoter.Row{Term: 5, Candidate: "h2"}, views)
		},
		"no server was fenced": func(p *promoter.Promoter, now timekeeper.Millis, claim promoter.Claim, views []promoter.ServerView) {
			p.ClaimFinished(now, claim.Attempt, true, claim.Row, views)
			for _, v := range views {
				p.FenceFinished(now, claim.Attempt, v.Name, false, sequencer.Report{PromisedTerm: 7}, views)
			}
		},
		"the server refused the promotion": func(p *promoter.Promoter, now timekeeper.Millis, claim promoter.Claim, views []promoter.ServerView) {
			p.ClaimFinished(now, claim.Attempt, true, claim.Row, views)
			for _, v := range views[1:] {
				p.FenceFinished(now, claim.Attempt, v.Name, true, v.Report, views)
			}
			p.Tick(now+500, views, 0)
			p.PromotionFinished(now+500, claim.Attempt, false, sequencer.Report{PromisedTerm: 9}, views)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPromoter()
			views := unresponsivePrimary()
			now, claim := tickUntilClaim(t, p, views)
			act(p, now, claim, views)
			if p.Busy() {
				t.Fatal("the attempt has not ended")
			}
			if _, next := tickUntilClaim(t, p, views); next.Row.Term <= claim.Row.Term {
				t.Errorf("next claim: got term %d, want one above %d", next.Row.Term, claim.Row.Term)
			}
		})
	}
}

// TestPlatformUnresponsive guards against a change that waits for the platform:
// the servers are fenced though the claim gets no response.
func TestPlatformUnresponsive(t *testing.T) {
	p := newPromoter()
	views := unresponsivePrimary()
	now, _ := tickUntilClaim(t, p, views)
	fences := 0
	for _, c := range p.Tick(now+500, views, 0) {
		if _, ok := c.(promoter.Fence); ok {
			fences++
		}
	}
	if fences != 3 {
		t.Errorf("fences while the platform is unresponsive: got %d, want 3", fences)
	}
}

func TestHandOver(t *testing.T) {
	leaving := func(received sequencer.Position) []promoter.ServerView {
		p := primaryView(10_000, true)
		p.Leaving = true
		return []promoter.ServerView{p, replicaView("a", 10_000, 50, received), replicaView("b", 10_000, 50, received)}
	}
	p := newPromoter()
	if out := p.Tick(10_000, leaving(pos(1, 8)), 1); len(out) != 0 || !p.Draining() {
		t.Fatalf("with a write in progress: got %v, draining %v, want no commands and writes paused", out, p.Draining())
	}
	if out := p.Tick(10_020, leaving(pos(1, 8)), 0); len(out) != 0 {
		t.Fatalf("before a replica has caught up: got %v, want no commands", out)
	}
	if out := p.Tick(10_040, leaving(pos(1, 9)), 0); len(out) != 1 {
		t.Fatalf("with a replica that has caught up: got %v, want a claim", out)
	}
}
