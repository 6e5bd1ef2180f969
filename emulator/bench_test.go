package emulator_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// BenchmarkIdleConnection measures the memory that an idle client connection
// takes in the process of its daemon. The client's end of the connection, a bare
// socket in the same process, is included.
func BenchmarkIdleConnection(b *testing.B) {
	const count = 2000
	for range b.N {
		e := start(b, 25)
		open := func() net.Conn {
			conn, err := pgconn.Connect(context.Background(), "postgres://coop:"+password+"@"+e.Daemons[0].Address+"/db0?sslmode=disable")
			if err != nil {
				b.Error(err)
				return nil
			}
			if _, err := conn.Exec(context.Background(), "SELECT 1").ReadAll(); err != nil {
				b.Error(err)
			}
			hijacked, err := conn.Hijack()
			if err != nil {
				b.Error(err)
				return nil
			}
			return hijacked.Conn
		}
		_ = open()
		before := liveMemory()
		conns := make([]net.Conn, count)
		var workers sync.WaitGroup
		for worker := range 8 {
			workers.Go(func() {
				for i := worker; i < count; i += 8 {
					conns[i] = open()
				}
			})
		}
		workers.Wait()
		time.Sleep(500 * time.Millisecond)
		b.ReportMetric(float64(liveMemory()-before)/count, "bytes/connection")
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// liveMemory returns the size of the live heap and the stacks in bytes.
func liveMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
