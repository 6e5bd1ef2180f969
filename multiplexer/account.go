package multiplexer

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxCatalogAge is how long after the last reading of the catalog a key that it
// lacks counts as unknown. Later the key may belong to a newer catalog, and the client
// is sent to another daemon.
const maxCatalogAge timekeeper.Millis = 3000

// denialLogInterval is the time between two log lines about refused keys. Clients whose
// key was revoked may try again and again.
const denialLogInterval timekeeper.Millis = 200

// ConfirmCatalog records that the current catalog was the newest at readAt.
func (m *Multiplexer) ConfirmCatalog(readAt timekeeper.Millis) {
	m.catalogReadAt = max(m.catalogReadAt, readAt)
}

// resolveAccount returns the account for which a session's statement on a database
// runs: none if the database is open. The answer's code is CodeOK unless the statement
// may not run. A carrier whose catalog is older than that of the client's daemon
// relies on that daemon.
func (m *Multiplexer) resolveAccount(now timekeeper.Millis, s *session, d cataloger.Database) (string, Answer) {
	if s.work != nil && s.catalog > m.catalog.Version {
		if d.Closed {
			return s.account, Answer{}
		}
		return "", Answer{}
	}
	if current, found := m.catalog.Database(d.Name); found {
		d.Closed = current.Closed
	}
	if !d.Closed {
		return "", Answer{}
	}
	if account, found := m.catalog.AccountByKey(s.key); found {
		return account.Name, Answer{}
	}
	a := Answer{Code: CodeDenied, Text: "the key is unknown"}
	if s.work == nil && m.catalogReadAt > 0 && now-m.catalogReadAt > maxCatalogAge {
		a = Answer{Code: CodeNotRun, Text: "the newest catalog is not known", RetryAfter: defaultRetryDelay}
	}
	if s.work != nil && s.catalog == 0 {
		// A daemon that knows no accounts.
		a = Answer{Code: CodeNotRun, Text: "the database is closed to the daemon", RetryAfter: defaultRetryDelay}
	}
	if m.denials++; now-m.denialLoggedAt < denialLogInterval {
		return "", a
	}
	m.denialLoggedAt = now
	m.deps.Log(Decision{Part: "account", Outcome: "refused: " + a.Text, Inputs: []observer.Field{
		observer.F("database", d.Name), observer.F("key", s.key.Fingerprint()), observer.F("catalog", m.catalog.Version), observer.F("age", int64(now-m.catalogReadAt)), observer.F("count", m.denials),
	}})
	m.denials = 0
	return "", a
}

// applyAccounts applies the accounts of a new catalog to the open sessions: it refuses
// queued statements and rolls back transactions whose account has changed, and closes
// idle sessions that no account may use.
func (m *Multiplexer) applyAccounts(now timekeeper.Millis) {
	if m.catalog.AccountCount() == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[id]
		if s == nil {
			continue // ended with an earlier one
		}
		if s.work == nil {
			s.account = string(s.key)
		}
		m.applyAccount(now, s)
	}
}

// applyAccount applies a new catalog to a session.
func (m *Multiplexer) applyAccount(now timekeeper.Millis, s *session) {
	d, found := m.catalog.Database(s.database)
	if s.tx != nil {
		d, found = s.tx.database, true
	}
	if !found {
		return
	}
	account, denial := m.resolveAccount(now, s, d)
	if j := s.job; j != nil {
		changed := denial.Code != CodeOK || account != j.account
		switch {
		case !changed:
		case j.step == stepAdmission:
			m.cancelAdmission(j)
		case j.step == stepQueued && j.group.waiting[j.id] == j:
			j.group.unqueue(j)
		default:
			changed = false
		}
		if changed {
			if denial.Code == CodeOK {
				denial = Answer{Code: CodeNotRun, Text: "the key belongs to another account now", RetryAfter: 1}
			}
			j.group.complete(now, j, denial)
		}
		return
	}
	if s.tx != nil && !s.tx.aborted && (denial.Code != CodeOK || account != s.tx.account) {
		m.abort(now, s)
		m.dropAborted(s)
	}
	if denial.Code != CodeOK && s.work == nil && s.idle() && !s.closing {
		s.closing = true
		m.emit(CloseSession{Session: s.id})
	}
}

// accountWeight returns the weight of an account's work in the queue: within a rank of
// work, each rank of accounts gets half the share of the next more urgent one.
func accountWeight(a cataloger.Account) float64 {
	return float64(int(1) << a.Rank)
}
