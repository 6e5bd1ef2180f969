package planner

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// Verifier is a SCRAM-SHA-256 verifier: the data with which a server checks a
// password without knowing it. Salt and keys are raw bytes.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

const (
	verifierPrefix = "SCRAM-SHA-256$"
	minIterations  = 4096
)

// ParseVerifier parses a verifier in PostgreSQL's form,
// SCRAM-SHA-256$iterations:salt$stored:server. It returns an Error of KindInvalid
// for another form, fewer than 4096 iterations, or a salt or key that is empty or
// not base64.
func ParseVerifier(text string) (Verifier, error) {
	rest, found := strings.CutPrefix(text, verifierPrefix)
	head, keys, split := strings.Cut(rest, "$")
	iterationsText, salt, headSplit := strings.Cut(head, ":")
	stored, server, keysSplit := strings.Cut(keys, ":")
	if !found || !split || !headSplit || !keysSplit {
		return Verifier{}, invalid("want SCRAM-SHA-256$iterations:salt$stored:server")
	}
	iterations, err := strconv.Atoi(iterationsText)
	if err != nil || iterations < minIterations {
		return Verifier{}, invalid("want at least 4096 iterations")
	}
	v := Verifier{Iterations: iterations}
	for _, part := range []struct {
		text string
		dst  *[]byte
	}{{salt, &v.Salt}, {stored, &v.StoredKey}, {server, &v.ServerKey}} {
		data, err := base64.StdEncoding.DecodeString(part.text)
		if err != nil || len(data) == 0 {
			return Verifier{}, invalid("want a salt and keys in base64")
		}
		*part.dst = data
	}
	return v, nil
}

// ValidateVerifier returns the error of ParseVerifier for a verifier's text.
func ValidateVerifier(text string) error {
	_, err := ParseVerifier(text)
	return err
}

func invalid(text string) error {
	return &Error{Op: "verifier", Kind: KindInvalid, Text: text}
}

// NewVerifier derives the verifier of a user's password with 4096 iterations. It
// returns an Error of KindInvalid for names and passwords that SCRAM does not
// allow.
func NewVerifier(name, password, salt string) (Verifier, error) {
	client, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		return Verifier{}, invalid(err.Error())
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: minIterations})
	if err != nil {
		return Verifier{}, invalid(err.Error())
	}
	return Verifier{Iterations: minIterations, Salt: []byte(salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}

// String returns the verifier in PostgreSQL's form, as ParseVerifier reads it.
func (v Verifier) String() string {
	encode := base64.StdEncoding.EncodeToString
	return verifierPrefix + strconv.Itoa(v.Iterations) + ":" + encode(v.Salt) + "$" + encode(v.StoredKey) + ":" + encode(v.ServerKey)
}
