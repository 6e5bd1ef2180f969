package planner

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// Verifier is a SCRAM-SHA-256 verifier: what a server keeps to check a password
// that it does not know.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

const (
	verifierPrefix = "SCRAM-SHA-256$"
	iterationsLow  = 4096
)

// ParseVerifier reads a verifier in PostgreSQL's form,
// SCRAM-SHA-256$iterations:salt$stored:server.
func ParseVerifier(text string) (Verifier, error) {
	rest, found := strings.CutPrefix(text, verifierPrefix)
	head, keys, split := strings.Cut(rest, "$")
	count, salt, headSplit := strings.Cut(head, ":")
	stored, server, keysSplit := strings.Cut(keys, ":")
	if !found || !split || !headSplit || !keysSplit {
		return Verifier{}, invalid("want SCRAM-SHA-256$iterations:salt$stored:server")
	}
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < iterationsLow {
		return Verifier{}, invalid("want at least 4096 iterations")
	}
	v := Verifier{Iterations: iterations}
	for _, part := range []struct {
		text string
		into *[]byte
	}{{salt, &v.Salt}, {stored, &v.StoredKey}, {server, &v.ServerKey}} {
		data, err := base64.StdEncoding.DecodeString(part.text)
		if err != nil || len(data) == 0 {
			return Verifier{}, invalid("a part is not base64")
		}
		*part.into = data
	}
	return v, nil
}

// ValidateVerifier reports what is wrong with a verifier's text.
func ValidateVerifier(text string) error {
	_, err := ParseVerifier(text)
	return err
}

func invalid(text string) error {
	return &Error{Op: "verifier", Kind: KindInvalid, Text: text}
}

// NewVerifier derives the verifier of a password.
func NewVerifier(name, password, salt string) (Verifier, error) {
	client, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		return Verifier{}, invalid(err.Error())
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterationsLow})
	if err != nil {
		return Verifier{}, invalid(err.Error())
	}
	return Verifier{Iterations: iterationsLow, Salt: []byte(salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}

// String formats the verifier in PostgreSQL's form.
func (v Verifier) String() string {
	encode := base64.StdEncoding.EncodeToString
	return verifierPrefix + strconv.Itoa(v.Iterations) + ":" + encode(v.Salt) + "$" + encode(v.StoredKey) + ":" + encode(v.ServerKey)
}
