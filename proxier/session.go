package proxier

import (
	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Session is the session of one client connection. It must be used by one goroutine
// at a time.
type Session struct {
	proxy      *Proxy
	id         uint64
	answers    chan multiplexer.Answer
	disconnect func()
	// stateSize is set before an answer is sent to answers.
	stateSize int64
	// daemonDone is closed once the daemon ends.
	daemonDone <-chan struct{}
}

// Connect opens a session on a database for the client with a key. It returns a nil
// session and the refusal if the answer's code is not CodeOK. The daemon calls
// disconnect to end an idle session; it is called under a lock and must not block.
func (p *Proxy) Connect(database, key string, disconnect func()) (*Session, multiplexer.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSession++
	answer := p.mux.Connect(p.clock.Now(), p.lastSession, database, key)
	if answer.Code != multiplexer.CodeOK {
		return nil, answer
	}
	s := &Session{proxy: p, id: p.lastSession, answers: make(chan multiplexer.Answer, 1), disconnect: disconnect, daemonDone: p.ctx.Done()}
	p.sessions[s.id] = s
	return s, answer
}

// Run runs a statement and blocks until its answer, at the latest when the
// statement's time limit has passed. The answer's code is CodeInDoubt if the daemon
// ends first.
func (s *Session) Run(st multiplexer.Statement) multiplexer.Answer {
	s.proxy.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return s.proxy.mux.Run(now, s.id, st) })
	return s.awaitAnswer()
}

// awaitAnswer blocks until the statement is answered or the daemon ends; after that
// no answer arrives.
func (s *Session) awaitAnswer() multiplexer.Answer {
	select {
	case answer := <-s.answers:
		return answer
	case <-s.daemonDone:
		return multiplexer.Answer{Code: multiplexer.CodeInDoubt, Text: "the daemon has ended"}
	}
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.proxy.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command {
		commands := s.proxy.mux.Disconnect(now, s.id)
		delete(s.proxy.sessions, s.id)
		return commands
	})
}

// StateSize returns the size in bytes of the session's values and prepared statements
// as of the last answer.
func (s *Session) StateSize() int64 { return s.stateSize }

// Refuse returns the answer to a statement that the daemon does not run for the reason
// in a. It ends an open transaction.
func (s *Session) Refuse(a multiplexer.Answer) multiplexer.Answer {
	s.proxy.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return s.proxy.mux.Refuse(now, s.id, a) })
	return s.awaitAnswer()
}

// Reject returns the error answer, with the given text, to a message that is not a
// statement. It ends an open transaction.
func (s *Session) Reject(text string) multiplexer.Answer {
	s.proxy.withMultiplexer(func(now timekeeper.Millis) []multiplexer.Command { return s.proxy.mux.Reject(now, s.id, text) })
	return s.awaitAnswer()
}
