package cataloger

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
)

// KeyDigest stands for a client's key: half of its SHA-256 sum, in hex. Keys are
// random, so the digest does not reveal them, and comparing digests reveals nothing
// about a key by the time that it takes.
type KeyDigest string

// digestSize is how many bytes of the sum a KeyDigest holds.
const digestSize = 16

// fingerprintSize is how many characters of a digest are logged.
const fingerprintSize = 8

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:digestSize]))
}

// Fingerprint returns the start of the digest, for logs.
func (d KeyDigest) Fingerprint() string {
	return string(d[:min(fingerprintSize, len(d))])
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the digests of the keys that identify the account's clients.
	Keys []KeyDigest
	// Rank weighs the account against others within a rank of work.
	Rank scheduler.Rank
	// RateLimit is how many operations a second all daemons together run for the account,
	// and Burst how many more after a pause; a RateLimit of 0 sets no limit.
	RateLimit, Burst int
}

// WithAccounts returns a copy of the catalog with client accounts. A key of more
// than one account identifies none of them, and of accounts with one name only the
// first counts.
func (c Catalog) WithAccounts(accounts []Account) Catalog {
	c.accounts = make(map[string]Account, len(accounts))
	c.accountsByKey = map[KeyDigest]string{}
	ambiguous := map[KeyDigest]bool{}
	for _, a := range accounts {
		if _, found := c.accounts[a.Name]; found {
			continue
		}
		c.accounts[a.Name] = a
		for _, key := range a.Keys {
			if owner, found := c.accountsByKey[key]; found && owner != a.Name {
				ambiguous[key] = true
			}
			c.accountsByKey[key] = a.Name
		}
	}
	for key := range ambiguous {
		delete(c.accountsByKey, key)
	}
	return c
}

// AccountCount returns the number of accounts; 0 if the catalog has none.
func (c Catalog) AccountCount() int {
	return len(c.accounts)
}

// LargestAccounts returns the names of the n accounts with the highest rate limits.
func (c Catalog) LargestAccounts(n int) []string {
	names := slices.SortedFunc(maps.Keys(c.accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.accounts[b].RateLimit, c.accounts[a].RateLimit), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// Account returns the account with the name, or false if there is none.
func (c Catalog) Account(name string) (Account, bool) {
	a, found := c.accounts[name]
	return a, found
}

// AccountByKey returns the account that a key identifies, or false if there is none.
func (c Catalog) AccountByKey(key KeyDigest) (Account, bool) {
	name, found := c.accountsByKey[key]
	if !found {
		return Account{}, false
	}
	return c.accounts[name], true
}
