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

// tokenVersion is the version of the token format.
const tokenVersion = 1

// minSecretLength is the minimum length of a signing key's secret in bytes.
const minSecretLength = 16

// SigningKey is a named secret that signs tokens. Tokens carry the key's name.
type SigningKey struct {
	Name   string
	Secret []byte
}

// Signer issues and verifies tokens. It signs with its first key and accepts
// all of them, so that keys can be replaced one at a time.
type Signer struct {
	keys     []SigningKey
	lifetime timekeeper.Millis
}

// NewSigner returns a signer whose tokens expire after lifetime. It fails with
// KindInvalid if there is no key, or if a key has no name, a dot in its name or
// a secret that is too short.
func NewSigner(keys []SigningKey, lifetime timekeeper.Millis) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &Error{Op: "new signer", Kind: KindInvalid, Text: "no keys"}
	}
	for _, key := range keys {
		if len(key.Secret) < minSecretLength || key.Name == "" || strings.Contains(key.Name, ".") {
			return nil, &Error{Op: "new signer", Kind: KindInvalid, Text: "a key needs a name without dots and at least 16 bytes"}
		}
	}
	return &Signer{keys: keys, lifetime: lifetime}, nil
}

// claims is the content of a token.
type claims struct {
	Version  int                           `json:"version"`
	Customer string                        `json:"customer"`
	IssuedAt timekeeper.Millis             `json:"made"`
	Floors   map[string]sequencer.Position `json:"floors"`
}

// IssueToken returns a signed token with the floors of a customer's session. It
// fails with KindInvalid if they can't be encoded.
func (g *Signer) IssueToken(now timekeeper.Millis, customer string, s Session) (string, error) {
	data, err := json.Marshal(claims{Version: tokenVersion, Customer: customer, IssuedAt: now, Floors: s.floors})
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

// ParseToken verifies a token and returns its session. It fails with
// KindInvalid for a malformed token, with KindAltered if the signature matches
// no key or the token belongs to another customer, and with KindExpired after
// its lifetime.
func (g *Signer) ParseToken(now timekeeper.Millis, customer, token string) (Session, error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return Session{}, &Error{Op: "session", Kind: KindInvalid, Text: "the token does not have three parts"}
	}
	if !g.verifySignature(parts) {
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
	case now-c.IssuedAt > g.lifetime:
		return Session{}, &Error{Op: "session", Kind: KindExpired, Text: "the token has expired, connect without it"}
	}
	return Session{floors: c.Floors, complete: true}, nil
}

// verifySignature reports whether the key named in the token exists and
// produced its signature.
func (g *Signer) verifySignature(parts []string) bool {
	body := parts[0] + "." + parts[1]
	for _, key := range g.keys {
		if key.Name == parts[1] && hmac.Equal([]byte(sign(key, body)), []byte(parts[2])) {
			return true
		}
	}
	return false
}
