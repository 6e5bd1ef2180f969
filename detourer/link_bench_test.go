package detourer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/heatherhall/heatherhall/multiplexer"
)

// BenchmarkForward measures a forwarded statement with an answer of 1 KB at both ends of
// a link, of which a carrier's part is about one half.
func BenchmarkForward(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	rows := []string{strings.Repeat("x", 1000)}
	go Serve(ctx, listener, Handler{Forward: ForwardHandler{
		Run: func(context.Context, uint64, multiplexer.ForwardRequest) (multiplexer.ForwardAnswer, error) {
			return multiplexer.ForwardAnswer{Answer: multiplexer.Answer{Rows: rows}}, nil
		},
		End: func(uint64, uint64) {}, LinkClosed: func(uint64) {},
	}}, done)
	links := NewLinks(net.Dialer{})
	var work atomic.Uint64
	var before syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		b.Fatal(err)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, err := links.Forward(ctx, listener.Addr().String(), request(work.Add(1), "select 1")); err != nil {
				b.Error(err)
			}
		}
	})
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(usage.Utime.Nano()+usage.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano())/1e3/float64(b.N), "cpu-us/op")
	links.Close()
	cancel()
	<-done
}
