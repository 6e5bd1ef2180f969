package limiter

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strconv"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// simDaemon is a daemon of a simulation.
type simDaemon struct {
	host    placer.Host
	limits  *Limiter
	account cataloger.Account
	// side is the part of the network that the daemon is in.
	side        int
	frozenUntil timekeeper.Millis
	run         int64
	// interval is the time between two arrivals at the daemon; 0 for none.
	interval, lastInterval timekeeper.Millis
}

// simulation runs limiters in virtual time over a faulty network. The operations that
// are admitted run at once.
type simulation struct {
	*timekeeper.TimerQueue
	random  *rand.Rand
	daemons []*simDaemon
	// many are accounts that zipf draws from in place of each daemon's account.
	many []cataloger.Account
	zipf *rand.Zipf
	// loss and duplication are the percentages of messages.
	loss, duplication int
	maxDelay          timekeeper.Millis
	runs              []timekeeper.Millis
	offered, refused  int
	operations        int
	// reference is a single bucket for all daemons with half of the burst, and
	// referenceRefused counts what it would refuse.
	reference        Bucket
	referenceRefused int
	messages, bytes  int
	largest          int
}

// newSimulation returns a simulation of a number of hosts, spread evenly over domains.
func newSimulation(seed int64, hosts, domains int, account cataloger.Account) *simulation {
	sim := &simulation{TimerQueue: timekeeper.NewTimerQueue(1000), random: rand.New(rand.NewSource(seed)), maxDelay: 1}
	for i := range hosts {
		d := &simDaemon{host: placer.Host{Name: fmt.Sprintf("h%03d", i), Domain: fmt.Sprintf("d%d", i%domains)}, account: account}
		d.host.Address = d.host.Name
		sim.daemons = append(sim.daemons, d)
	}
	for i, d := range sim.daemons {
		sim.start(d)
		sim.After(timekeeper.Millis(i%10), func() { sim.tick(d) })
		sim.After(timekeeper.Millis(sim.random.Intn(20)), func() { sim.arrive(d) })
	}
	return sim
}

// start starts a daemon without any state.
func (sim *simulation) start(d *simDaemon) {
	d.run++
	d.limits = New(sim.random.Int63(), Deps{Account: func(name string) (cataloger.Account, bool) {
		if i, err := strconv.Atoi(name); err == nil && i < len(sim.many) {
			return sim.many[i], true
		}
		return d.account, true
	}})
	sim.place(d, nil)
}

// place gives a daemon the list of all hosts but some.
func (sim *simulation) place(d *simDaemon, missing map[string]bool) {
	var hosts []placer.Host
	for _, other := range sim.daemons {
		if !missing[other.host.Name] {
			hosts = append(hosts, other.host)
		}
	}
	d.limits.SetPlacement(sim.Now(), placer.New(d.host, hosts))
}

func (sim *simulation) tick(d *simDaemon) {
	if sim.Now() >= d.frozenUntil {
		d.limits.Tick(sim.Now())
		sim.pump(d)
	}
	sim.After(10, func() { sim.tick(d) })
}

// arrive admits an operation at a daemon at random intervals.
func (sim *simulation) arrive(d *simDaemon) {
	if d.interval == 0 {
		d.lastInterval = 0
		sim.After(20, func() { sim.arrive(d) })
		return
	}
	if d.interval != d.lastInterval {
		// The first arrivals at many daemons must not come together.
		d.lastInterval = d.interval
		sim.After(timekeeper.Millis(sim.random.Int63n(2*int64(d.interval))), func() { sim.arrive(d) })
		return
	}
	if sim.Now() >= d.frozenUntil {
		sim.operations++
		sim.offered++
		sim.reference.Refill(sim.Now(), float64(d.account.RateLimit), max(minCapacity, float64(d.account.Burst)/2))
		sim.referenceRefused += 1 - sim.reference.Take(1, 0)
		account := d.account
		if sim.many != nil {
			account = sim.many[sim.zipf.Uint64()]
		}
		sim.decide(d.limits.Admit(sim.Now(), fmt.Sprint(sim.operations), account))
		sim.pump(d)
	}
	sim.After(timekeeper.Millis(sim.random.Int63n(2*int64(d.interval))+1), func() { sim.arrive(d) })
}

func (sim *simulation) decide(decision Decision) {
	switch decision.Outcome {
	case Admitted:
		sim.runs = append(sim.runs, sim.Now())
	case Refused:
		sim.refused++
	case Waiting:
	}
}

// pump executes what a daemon's limiter asks for.
func (sim *simulation) pump(d *simDaemon) {
	messages, decisions := d.limits.Take(sim.Now())
	for _, decision := range decisions {
		sim.decide(decision)
	}
	for _, m := range messages {
		sim.send(d, m)
	}
}

// send carries a message to its receiver, once or twice, and the answer back.
func (sim *simulation) send(d *simDaemon, m Message) {
	run, limits, answered := d.run, d.limits, false
	sim.measure(m.Tokens, m.Demand)
	back := func(f func()) {
		if d.run == run && !answered {
			answered = true
			f()
			sim.pump(d)
		}
	}
	sim.After(250, func() { sim.whenRunning(d, func() { back(func() { limits.Lost(sim.Now(), m.ID) }) }) })
	for range 1 + sim.chance(sim.duplication) {
		sim.carry(d, sim.find(m.To.Name), func(to *simDaemon) {
			var tokens TokensAnswer
			var demand DemandAnswer
			if m.Tokens != nil {
				tokens = to.limits.HandleTokens(sim.Now(), *m.Tokens)
			} else {
				demand = to.limits.HandleDemand(sim.Now(), *m.Demand)
			}
			sim.pump(to)
			sim.measure(tokens, demand)
			sim.carry(to, d, func(*simDaemon) {
				back(func() {
					if m.Tokens != nil {
						limits.TokensAnswered(sim.Now(), m.ID, tokens)
					} else {
						limits.DemandAnswered(sim.Now(), m.ID, demand)
					}
				})
			})
		})
	}
}

// measure counts a message's bytes as JSON without the envelope.
func (sim *simulation) measure(tokens, demand any) {
	sim.messages++
	size := 0
	for _, part := range []any{tokens, demand} {
		if text, _ := json.Marshal(part); len(text) > len("null") {
			size = max(size, len(text))
		}
	}
	sim.bytes += size
	sim.largest = max(sim.largest, size)
}

// carry delivers to a daemon after a delay unless the message is lost.
func (sim *simulation) carry(from, to *simDaemon, deliver func(to *simDaemon)) {
	if to == nil || from.side != to.side || sim.chance(sim.loss) == 1 {
		return
	}
	sim.After(1+timekeeper.Millis(sim.random.Int63n(int64(sim.maxDelay))), func() {
		if from.side == to.side {
			sim.whenRunning(to, func() { deliver(to) })
		}
	})
}

// whenRunning calls f once a daemon is not frozen.
func (sim *simulation) whenRunning(d *simDaemon, f func()) {
	if sim.Now() < d.frozenUntil {
		sim.After(d.frozenUntil-sim.Now(), func() { sim.whenRunning(d, f) })
		return
	}
	f()
}

// chance returns 1 with a probability in percent.
func (sim *simulation) chance(percent int) int {
	if sim.random.Intn(100) < percent {
		return 1
	}
	return 0
}

func (sim *simulation) find(name string) *simDaemon {
	for _, d := range sim.daemons {
		if d.host.Name == name {
			return d
		}
	}
	return nil
}

// busiest returns the most messages that a daemon has sent and received since the start.
func (sim *simulation) busiest() int64 {
	most := int64(0)
	for _, d := range sim.daemons {
		stats := d.limits.Stats()
		most = max(most, 2*(stats.Sent+stats.Received))
	}
	return most
}

func (sim *simulation) pass(d timekeeper.Millis) {
	sim.RunUntil(sim.Now()+d, nil)
}

// coordinator returns the daemon that is the first of a domain in the order.
func (sim *simulation) coordinator(domain string) *simDaemon {
	return sim.find(sim.daemons[0].limits.placement.OrderIn(domain, shardKey(shardOf(sim.daemons[0].account.Name)))[0].Name)
}

// excess returns by how much the operations of the worst 5 s, among those that begin
// from a time on, exceed the bound for a limit.
func (sim *simulation) excess(from timekeeper.Millis, limit cataloger.Account) float64 {
	const window timekeeper.Millis = 5000
	bound := float64(limit.RateLimit*5+limit.Burst)*1.1 + 20
	worst, first := -bound, 0
	for i, at := range sim.runs {
		for sim.runs[first] <= at-window {
			first++
		}
		if at-window >= from {
			worst = max(worst, float64(i-first+1)-bound)
		}
	}
	return worst
}
