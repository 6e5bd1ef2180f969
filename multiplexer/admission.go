package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/limiter"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Account returns an account of the catalog in force.
func (m *Multiplexer) Account(name string) (cataloger.Account, bool) {
	return m.catalog.Account(name)
}

// LargestAccounts returns the names of the n accounts with the highest rate limits.
func (m *Multiplexer) LargestAccounts(n int) []string {
	return m.catalog.LargestAccounts(n)
}

// HasAccounts reports whether the catalog in force has accounts.
func (m *Multiplexer) HasAccounts() bool {
	return m.catalog.AccountCount() > 0
}

// admit places a job once its account has a token for it. Work of another daemon's
// client has taken one there.
func (m *Multiplexer) admit(now timekeeper.Millis, j *job) {
	account, found := m.catalog.Account(j.account)
	if j.session.work != nil || !found || account.RateLimit <= 0 || m.deps.Admit == nil {
		m.place(now, j)
		return
	}
	j.step = stepAdmission
	m.admissions[j.id] = j
	if d := m.deps.Admit(now, j.id, account); d.Outcome != limiter.Waiting {
		m.decideAdmission(now, j, d)
	}
}

// Admitted handles the outcomes for jobs that waited for a token.
func (m *Multiplexer) Admitted(now timekeeper.Millis, decisions []limiter.Decision) []Command {
	for _, d := range decisions {
		if j := m.admissions[d.ID]; j != nil {
			m.decideAdmission(now, j, d)
		}
	}
	return m.takeCommands()
}

func (m *Multiplexer) decideAdmission(now timekeeper.Millis, j *job, d limiter.Decision) {
	delete(m.admissions, j.id)
	if d.Outcome == limiter.Refused {
		j.group.reject(now, j, d.RetryAfter, "the account's rate limit is reached")
		return
	}
	if now >= j.deadline {
		j.group.reject(now, j, defaultRetryDelay, "the time limit passed")
		return
	}
	j.admittedAt = now
	m.place(now, j)
}

// cancelAdmission ends a job's wait for a token.
func (m *Multiplexer) cancelAdmission(j *job) {
	delete(m.admissions, j.id)
	if m.deps.CancelAdmission != nil {
		m.deps.CancelAdmission(j.id, j.account)
	}
}

// charge takes a token for a job that is about to run, or to be forwarded, although it
// may have run before.
func (m *Multiplexer) charge(now timekeeper.Millis, j *job) {
	if !j.mayHaveRun || m.deps.Charge == nil {
		return
	}
	if account, found := m.catalog.Account(j.account); found && account.RateLimit > 0 {
		m.deps.Charge(now, account)
	}
}

// refund returns the token of a job that is answered without having run, so that it is
// there for one that can run: while a primary is missing, clients try again and again.
func (m *Multiplexer) refund(now timekeeper.Millis, j *job, a Answer) {
	if a.Code != CodeNotRun || j.admittedAt == 0 || j.mayHaveRun || m.deps.Refund == nil {
		return
	}
	if account, found := m.catalog.Account(j.account); found && account.RateLimit > 0 {
		m.deps.Refund(now, j.admittedAt, account)
	}
}

// tickAdmissions rejects jobs whose time limit passes while they wait for a token.
func (m *Multiplexer) tickAdmissions(now timekeeper.Millis) {
	for _, j := range sortedJobs(m.admissions) {
		if now >= j.deadline {
			m.cancelAdmission(j)
			j.group.reject(now, j, defaultRetryDelay, "no token was granted in time")
		}
	}
}
