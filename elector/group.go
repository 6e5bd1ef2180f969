package elector

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// retryInterval is the pause before a failed step is tried again.
	retryInterval timekeeper.Millis = 300
	// resumeLeast is the least time that a change under way still takes.
	resumeLeast timekeeper.Millis = 100
)

// group is the state of one group's leadership here.
type group struct {
	name string
	// first is the server that leads for as long as no reign is written.
	first        string
	reign        PrimaryRecord
	reignVersion int64
	// announced is when this daemon saw the change under way.
	announced timekeeper.Millis
	// released and objected are the numbers of the changes to which this daemon
	// said so.
	released int64
	objected int64
	// answered is the number of the change that the store has this daemon's Ack
	// of, and answering says that it is being written.
	answered  int64
	answering bool
	// asked is the number of the change for which this daemon asked the primary
	// itself, and silent that of the change for which it got no answer.
	asked, silent int64
	answerDue     timekeeper.Millis

	change change
	// written is the store's version after this daemon's last change of the group's
	// row, until readings have reached it, and finished the number of the last
	// change of primary that this daemon ended.
	written  int64
	finished int64
	// pausedUntil is when this daemon may announce a change again.
	pausedUntil timekeeper.Millis
	// mendedUntil is until when failing statements are no reason for a change.
	mendedUntil timekeeper.Millis
	// since is when the present reason for a change was first seen, and reason
	// that reason.
	since  timekeeper.Millis
	reason Reason
}

// primary returns who leads as far as this daemon knows.
func (g *group) primary() string {
	if g.reign.Primary != "" {
		return g.reign.Primary
	}
	return g.first
}

// setReign takes the group's row.
func (g *group) setReign(now timekeeper.Millis, e *Elector, row Row) error {
	if row.Version == g.reignVersion {
		return nil
	}
	reign, err := decode[PrimaryRecord](row)
	if err != nil {
		return err
	}
	if reign.ChangeReason != "" && (g.reign.ChangeReason == "" || g.reign.ChangeNumber != reign.ChangeNumber) {
		g.announced = now
	}
	g.reign, g.reignVersion = reign, row.Version
	e.log("reign", observer.F("group", g.name), observer.F("primary", reign.Primary), observer.F("term", reign.Term),
		observer.F("change", string(reign.ChangeReason)), observer.F("number", reign.ChangeNumber), observer.F("version", row.Version))
	return nil
}

// respond answers an announced change: this daemon releases the primary, or
// objects because it still reaches it.
func (e *Elector) respond(now timekeeper.Millis, g *group) {
	number := g.reign.ChangeNumber
	if g.reign.ChangeReason == "" || e.leaving {
		return
	}
	signs := e.deps.PrimaryHealth(g.name, g.primary())
	mayObject := e.mayObject(g)
	if g.objected == number && !mayObject {
		g.objected, g.answered = 0, 0
	}
	if g.released != number && g.objected != number {
		if mayObject && e.askFirst(now, g, signs) {
			return
		}
		if mayObject && signs.LastResponse > 0 && now-signs.LastResponse < e.settings.RejectWindow {
			g.objected = number
			e.log("objects to a change: the primary answers", observer.F("group", g.name), observer.F("number", number),
				observer.F("heard", int64(now-signs.LastResponse)))
		} else if signs.Quiesced || g.reign.ChangeReason == ReasonFailure || now-g.announced >= e.settings.DrainTimeout {
			g.released = number
			e.log("releases the primary", observer.F("group", g.name), observer.F("number", number),
				observer.F("settled", signs.Quiesced), observer.F("seen", signs.HighestPosition.String()))
			e.out = append(e.out, ReleasePrimary{Group: g.name})
		} else {
			return
		}
	}
	if g.answered == number || g.answering || now < g.answerDue {
		return
	}
	g.answering = true
	g.answerDue = now + retryInterval
	ack := Ack{Incarnation: e.settings.Self.Incarnation, ChangeNumber: number, Rejects: g.objected == number, HighestPosition: signs.HighestPosition}
	e.write(Transaction{Set: []Row{encode(ackPrefix+g.name+"/"+e.settings.Self.Name, ack)}}, func(_ timekeeper.Millis, result Result, _ int64) {
		g.answering = false
		if result == Applied {
			g.answered = number
		}
	})
}

// mayObject reports whether this daemon may keep the primary in spite of a change
// that is under way: the primary counts as failed, no successor is asked for yet,
// and the change waits for this daemon, which was registered when it was
// announced.
func (e *Elector) mayObject(g *group) bool {
	registered := e.rows[hostPrefix+e.settings.Self.Name].Version
	return g.reign.ChangeReason == ReasonFailure && g.reign.Successor == "" && registered > 0 && registered < g.reignVersion
}

// askLimit is how long a primary is waited for that this daemon has had no reason
// to call of late.
const askLimit timekeeper.Millis = 400

// askFirst asks the primary itself where the daemon's own traffic tells nothing
// of it. It reports whether the answer is still awaited.
func (e *Elector) askFirst(now timekeeper.Millis, g *group, signs PrimaryHealth) bool {
	number := g.reign.ChangeNumber
	if signs.UnresponsiveSince > 0 || signs.LastResponse > 0 && now-signs.LastResponse < e.settings.RejectWindow || g.silent == number {
		return false
	}
	if g.asked == number {
		return now-g.announced < askLimit
	}
	server, registered := e.byID[g.primary()]
	if !registered {
		return false
	}
	g.asked = number
	e.inspect(server, InspectRequest{}, func(now timekeeper.Millis, account ServerStatus, err error) {
		if g.reign.ChangeNumber != number || g.released == number || !e.mayObject(g) {
			return
		}
		if err != nil || !account.Primary {
			g.silent = number
		} else {
			g.objected = number
			e.log("objects to a change: the primary answers a question", observer.F("group", g.name), observer.F("number", number))
		}
		e.respond(now, g)
	})
	return true
}
