package proxier

import (
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Session is a caller's connection. One goroutine uses it.
type Session struct {
	proxy   *Proxy
	id      uint64
	answers chan multiplexer.Answer
	hangUp  func()
	// ended is closed when the daemon has ended.
	ended <-chan struct{}
}

// Connect opens a session. hangUp is called, without waiting for anything, when
// the daemon wants an idle session to end.
func (p *Proxy) Connect(database, account string, hangUp func()) (*Session, multiplexer.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	answer := p.mux.Connect(p.number, database, account)
	if answer.Code != multiplexer.CodeOK {
		return nil, answer
	}
	s := &Session{proxy: p, id: p.number, answers: make(chan multiplexer.Answer, 1), hangUp: hangUp, ended: p.ctx.Done()}
	p.sessions[s.id] = s
	return s, answer
}

// Run runs a statement and returns its answer, at the latest when the
// statement's time limit has passed.
func (s *Session) Run(st multiplexer.Statement) multiplexer.Answer {
	s.proxy.decide(func(now timekeeper.Millis) []multiplexer.Command { return s.proxy.mux.Run(now, s.id, st) })
	return s.await()
}

// await returns the answer to the session's statement. A daemon that has ended
// answers nothing any more.
func (s *Session) await() multiplexer.Answer {
	select {
	case answer := <-s.answers:
		return answer
	case <-s.ended:
		return multiplexer.Answer{Code: multiplexer.CodeInDoubt, Text: "the daemon has ended"}
	}
}

// Close ends the session.
func (s *Session) Close() {
	s.proxy.decide(func(now timekeeper.Millis) []multiplexer.Command {
		commands := s.proxy.mux.Disconnect(now, s.id)
		delete(s.proxy.sessions, s.id)
		return commands
	})
}

// Reject returns the answer to a message that is not a statement. It ends an
// open transaction.
func (s *Session) Reject(text string) multiplexer.Answer {
	s.proxy.decide(func(now timekeeper.Millis) []multiplexer.Command { return s.proxy.mux.Reject(now, s.id, text) })
	return s.await()
}
