package sessioner_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var (
	oldKey = sessioner.SigningKey{Name: "old", Secret: []byte("0123456789abcdef")}
	newKey = sessioner.SigningKey{Name: "new", Secret: []byte("fedcba9876543210")}
)

func signer(t *testing.T, keys ...sessioner.SigningKey) *sessioner.Signer {
	t.Helper()
	s, err := sessioner.NewSigner(keys, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against accepting tokens that are expired, altered, of another
// customer or signed with a removed key, and against rejecting valid tokens
// while keys are being replaced.
func TestToken(t *testing.T) {
	session := sessioner.New().WithFloor("db", sequencer.Position{Term: 4, Offset: 1182})
	token, err := signer(t, oldKey).IssueToken(100, "coop", session)
	if err != nil {
		t.Fatal(err)
	}
	parts := strings.Split(token, ".")
	tests := map[string]struct {
		keys     []sessioner.SigningKey
		customer string
		token    string
		now      int64
		want     sessioner.Kind
	}{
		"good":                      {[]sessioner.SigningKey{oldKey}, "coop", token, 200, ""},
		"key replaced":              {[]sessioner.SigningKey{newKey, oldKey}, "coop", token, 200, ""},
		"key removed":               {[]sessioner.SigningKey{newKey}, "coop", token, 200, sessioner.KindAltered},
		"token of another customer": {[]sessioner.SigningKey{oldKey}, "parish", token, 200, sessioner.KindAltered},
		"expired":                   {[]sessioner.SigningKey{oldKey}, "coop", token, 1101, sessioner.KindExpired},
		"body altered":              {[]sessioner.SigningKey{oldKey}, "coop", parts[0] + "A." + parts[1] + "." + parts[2], 200, sessioner.KindAltered},
		"not a token":               {[]sessioner.SigningKey{oldKey}, "coop", "x", 200, sessioner.KindInvalid},
		"name of another key":       {[]sessioner.SigningKey{oldKey, newKey}, "coop", parts[0] + ".new." + parts[2], 200, sessioner.KindAltered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := signer(t, test.keys...).ParseToken(timekeeper.Millis(test.now), test.customer, test.token)
			var e *sessioner.Error
			if test.want != "" {
				if !errors.As(err, &e) || e.Kind != test.want {
					t.Fatalf("got error %v, want kind %s", err, test.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			floor, known := got.Floor("db")
			if floor.Offset != 1182 || !known {
				t.Errorf("floor: got %v, known %v, want a known one with offset 1182", floor, known)
			}
			if _, known := got.Floor("other"); !known {
				t.Error("the floor of an unused database is unknown, want it known with a token")
			}
		})
	}
}

func ExampleSession_WithFloor() {
	s := sessioner.New()
	s = s.WithFloor("ledger", sequencer.Position{Term: 4, Offset: 7})
	s = s.WithFloor("ledger", sequencer.Position{Term: 4, Offset: 3})
	floor, known := s.Floor("ledger")
	fmt.Println(floor, known)
	_, known = s.Floor("catalogue")
	fmt.Println(known)
	// Output:
	// 4/7 true
	// false
}

// No input without a valid signature may be accepted.
func FuzzSession(f *testing.F) {
	s, err := sessioner.NewSigner([]sessioner.SigningKey{oldKey}, 1000)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("a.b.c")
	f.Add("..")
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := s.ParseToken(0, "coop", token); err == nil {
			t.Errorf("accepted %q", token)
		}
	})
}
