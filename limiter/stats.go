package limiter

import (
	"maps"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// OtherAccounts stands in Stats for all accounts that are not counted separately.
const OtherAccounts = "other"

// Stats counts what a Limiter has done.
type Stats struct {
	// Accounts counts operations by account, for those of SetLargest and OtherAccounts.
	Accounts map[string]Count
	// Sent and Received count messages to and from other daemons.
	Sent, Received int64
}

// Count counts the operations of accounts.
type Count struct {
	Admitted, Refused int64
}

// add counts operations of an account.
func (s *Stats) add(account string, c Count) {
	if _, separate := s.Accounts[account]; !separate {
		account = OtherAccounts
	}
	total := s.Accounts[account]
	s.Accounts[account] = Count{Admitted: total.Admitted + c.Admitted, Refused: total.Refused + c.Refused}
}

// SetLargest sets the accounts whose operations are counted separately.
func (l *Limiter) SetLargest(accounts []string) {
	before := l.stats.Accounts
	l.stats.Accounts = map[string]Count{OtherAccounts: {}}
	for _, name := range accounts {
		l.stats.Accounts[name] = Count{}
	}
	for name, c := range before {
		l.stats.add(name, c)
	}
}

// Stats returns the counters.
func (l *Limiter) Stats() Stats {
	out := l.stats
	out.Accounts = maps.Clone(out.Accounts)
	return out
}

// Shares returns the part of the rate of each account counted separately that this
// daemon grants.
func (l *Limiter) Shares(now timekeeper.Millis) map[string]float64 {
	out := map[string]float64{}
	for name, share := range l.coord.shares(now) {
		if _, separate := l.stats.Accounts[name]; separate {
			out[name] = share
		}
	}
	return out
}
