package sessioner

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// tokenVersion is the format of the tokens made here.
const tokenVersion = 1

// keyMinimum is the least length of a key in bytes.
const keyMinimum = 16

// SigningKey is one signing key.
type SigningKey struct {
	Name   string
	Secret []byte
}

// Signer makes and reads tokens. It signs with its first key and accepts all of
// them, so that keys can be changed one at a time.
type Signer struct {
	keys []SigningKey
	life timekeeper.Millis
}

// NewSigner returns a signer whose tokens are good for life.
func NewSigner(keys []SigningKey, life timekeeper.Millis) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &Error{Op: "new signer", Kind: KindInvalid, Text: "no keys"}
	}
	for _, key := range keys {
		if len(key.Secret) < keyMinimum || key.Name == "" || strings.Contains(key.Name, ".") {
			return nil, &Error{Op: "new signer", Kind: KindInvalid, Text: "a key needs a name without dots and at least 16 bytes"}
		}
	}
	return &Signer{keys: keys, life: life}, nil
}

// claims is what a token says.
type claims struct {
	Version  int                           `json:"version"`
	Customer string                        `json:"customer"`
	Made     timekeeper.Millis             `json:"made"`
	Floors   map[string]sequencer.Position `json:"floors"`
}

// IssueToken returns the signed token of a customer's session.
func (g *Signer) IssueToken(now timekeeper.Millis, customer string, s Session) (string, error) {
	data, err := json.Marshal(claims{Version: tokenVersion, Customer: customer, Made: now, Floors: s.floors})
	if err != nil {
		return "", &Error{Op: "token", Kind: KindInvalid, Text: err.Error()}
	}
	body := base64.RawURLEncoding.EncodeToString(data) + "." + g.keys[0].Name
	return body + "." + sign(g.keys[0], body), nil
}

func sign(key SigningKey, body string) string {
	mac := hmac.New(sha256.New, key.Secret)
	_, _ = mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// ParseToken returns the session that a token names. The token must be a
// customer's own, unaltered and not expired.
func (g *Signer) ParseToken(now timekeeper.Millis, customer, token string) (Session, error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return Session{}, &Error{Op: "session", Kind: KindInvalid, Text: "the token does not have three parts"}
	}
	if !g.signed(parts) {
		return Session{}, &Error{Op: "session", Kind: KindAltered, Text: "the token's signature does not match any key"}
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return Session{}, &Error{Op: "session", Kind: KindInvalid, Text: err.Error()}
	}
	var c claims
	if err := json.Unmarshal(data, &c); err != nil {
		return Session{}, &Error{Op: "session", Kind: KindInvalid, Text: err.Error()}
	}
	switch {
	case c.Version != tokenVersion:
		return Session{}, &Error{Op: "session", Kind: KindInvalid, Text: "the token is of an unknown version"}
	case c.Customer != customer:
		return Session{}, &Error{Op: "session", Kind: KindAltered, Text: "the token belongs to another customer"}
	case now-c.Made > g.life:
		return Session{}, &Error{Op: "session", Kind: KindExpired, Text: "the token has expired, connect without it"}
	}
	return Session{floors: c.Floors, known: true}, nil
}

func (g *Signer) signed(parts []string) bool {
	body := parts[0] + "." + parts[1]
	for _, key := range g.keys {
		if key.Name == parts[1] && hmac.Equal([]byte(sign(key, body)), []byte(parts[2])) {
			return true
		}
	}
	return false
}
