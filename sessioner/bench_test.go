package sessioner_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/sessioner"
)

// BenchmarkToken measures issuing and parsing a session token.
func BenchmarkToken(b *testing.B) {
	s, err := sessioner.NewSigner([]sessioner.SigningKey{oldKey}, 1000)
	if err != nil {
		b.Fatal(err)
	}
	session := sessioner.New().WithFloor("ledger", sequencer.Position{Term: 4, Offset: 118_200})
	size := 0
	for range b.N {
		token, err := s.IssueToken(1, "coop", session)
		if err != nil {
			b.Fatal(err)
		}
		size = len(token)
		if _, err := s.ParseToken(1, "coop", token); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/token")
}
