package loader

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

const (
	// The histograms record latencies in microseconds, from a microsecond to a
	// minute, with three significant digits.
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
	// maxQueuedRequests is the maximum number of requests that wait for a free
	// session of their stream. Requests beyond it are counted as offered and
	// never sent.
	maxQueuedRequests = 1 << 17
	// sliceDuration is the interval at which throughput is recorded and plotted.
	sliceDuration = 100 * time.Millisecond
)

// stream is a Stream in progress, with its sessions and results.
type stream struct {
	Stream
	run      *run
	rand     *rand.Rand
	sessions []*pgconn.PgConn

	mu             sync.Mutex
	counts         Counts
	doneLatency    *hdrhistogram.Histogram
	refusedLatency *hdrhistogram.Histogram
	donePerSlice   []int
	longestGap     time.Duration
	lastDone       time.Time
	// codes counts the requests that were not done, by SQLSTATE; see
	// StreamReport.Codes.
	codes map[string]int
}

// Counts holds the numbers of requests that arrived in the measured time, by
// outcome.
type Counts struct {
	// Offered is the number of requests that arrived.
	Offered int `json:"offered"`
	// Done is the number of requests that succeeded within the measured time.
	Done int `json:"done"`
	// Good is the number of requests done within Stream.TargetLatency.
	Good int `json:"good"`
	// Refused is the number of requests answered as not run.
	Refused int `json:"refused"`
	// Unknown is the number of requests of which it is not known whether they
	// ran.
	Unknown int `json:"unknown"`
	// Failed is the number of requests that failed otherwise.
	Failed int `json:"failed"`
	// Late is the number of requests that succeeded after the measured time.
	// They are counted as Offered and Late only. Requests that still wait for a
	// session at the end of the measured time are counted as Offered only.
	Late int `json:"late"`
}

// openSessions opens the stream's sessions, 16 at a time.
func (s *stream) openSessions(ctx context.Context) error {
	s.doneLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	s.refusedLatency = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	s.codes = map[string]int{}
	s.donePerSlice = make([]int, int(s.run.experiment.Run.Duration()/sliceDuration)+1)
	s.sessions = make([]*pgconn.PgConn, s.Sessions)
	numbers := make(chan int)
	failed := make(chan error, s.Sessions)
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for number := range numbers {
				conn, err := s.run.connect(ctx, s.Stream, number)
				if err != nil {
					failed <- err
					continue
				}
				s.sessions[number] = conn
			}
		})
	}
	for number := range s.Sessions {
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// sendRequests sends the stream's requests over all its sessions until the
// context ends, and waits for the requests in progress.
func (s *stream) sendRequests(ctx context.Context) {
	arrivals := make(chan time.Time, maxQueuedRequests)
	var workers sync.WaitGroup
	for number, conn := range s.sessions {
		workers.Go(func() { s.runSession(ctx, number, conn, arrivals) })
	}
	s.generateArrivals(ctx, arrivals)
	close(arrivals)
	workers.Wait()
}

// generateArrivals sends the arrival times of the stream's requests to arrivals.
// They form a Poisson process of the stream's rate. A closed-loop stream has
// none: the function waits for the end of the context.
func (s *stream) generateArrivals(ctx context.Context, arrivals chan<- time.Time) {
	if s.Rate <= 0 {
		<-ctx.Done()
		return
	}
	next := time.Now()
	from := s.run.measureStart.Add(s.From.Duration())
	if s.From > 0 {
		next = from
	}
	end := s.run.measureStart.Add(s.run.experiment.Run.Duration())
	if s.Until > 0 {
		end = s.run.measureStart.Add(s.Until.Duration())
	}
	for next.Before(end) {
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		s.countOffered(next)
		select {
		case arrivals <- next:
		default:
		}
		next = next.Add(time.Duration(s.rand.ExpFloat64() / s.Rate * float64(time.Second)))
	}
}

// countOffered counts a request as offered, unless it arrived in the warm-up.
func (s *stream) countOffered(arrival time.Time) {
	if arrival.Before(s.run.measureStart) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Offered++
}

// runSession sends requests over one session until arrivals is closed or the
// context ends. A session whose connection broke is connected again, to the
// daemon that its number and round select.
func (s *stream) runSession(ctx context.Context, number int, conn *pgconn.PgConn, arrivals <-chan time.Time) {
	random := rand.New(rand.NewSource(s.run.experiment.Seed*1_000_003 + int64(number)))
	for round := 0; ; round++ {
		arrival := time.Now()
		if s.Rate > 0 {
			var open bool
			if arrival, open = <-arrivals; !open || ctx.Err() != nil {
				break
			}
		} else {
			if ctx.Err() != nil {
				break
			}
			s.countOffered(arrival)
		}
		if conn == nil || conn.IsClosed() {
			newConn, err := s.run.connect(ctx, s.Stream, number+round)
			if err != nil {
				s.recordOutcome(arrival, err)
				continue
			}
			conn = newConn
		}
		s.recordOutcome(arrival, s.sendRequest(ctx, conn, random, fmt.Sprintf("%s-%d-%d", s.Name, number, round)))
	}
	if conn != nil {
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(closeCtx)
	}
}

// sendRequest sends one request and waits for its answer, up to 30 s. The end of
// the run does not cancel it.
func (s *stream) sendRequest(ctx context.Context, conn *pgconn.PgConn, random *rand.Rand, key string) error {
	id := random.Intn(rowCount)
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if s.Work != WorkSession {
		_, err := conn.Exec(requestCtx, s.statement(s.Work, id, key)).ReadAll()
		return err
	}
	if _, err := conn.Exec(requestCtx, s.statement(WorkWrite, id, key)).ReadAll(); err != nil {
		return err
	}
	time.Sleep(s.Think.Duration())
	_, err := conn.Exec(requestCtx, s.statement(WorkRead, id, key)).ReadAll()
	return err
}

// statement returns the SQL for a row, with a comment that holds the hints for
// the daemon.
func (s *stream) statement(work Work, id int, key string) string {
	var hints []string
	if !s.Direct {
		hints = append(hints, "rank='"+s.Rank.String()+"'")
	}
	if work == WorkWrite {
		hints = append(hints, "request='"+key+"'")
	}
	if work == WorkAged {
		hints = append(hints, fmt.Sprintf("max_age='%dms'", s.MaxAge))
	}
	comment := ""
	if len(hints) > 0 {
		comment = "/*" + strings.Join(hints, ",") + "*/ "
	}
	switch work {
	case WorkWrite, WorkPlain:
		return fmt.Sprintf("%sUPDATE items SET v = '%s' WHERE id = '%d'", comment, key, id)
	case WorkShort:
		return comment + "SELECT 1"
	}
	return fmt.Sprintf("%sSELECT v, pg_sleep(%g) FROM items WHERE id = '%d'", comment, s.ExtraServiceTime/1000, id)
}

// recordOutcome counts a request's outcome by the error of sending it, unless
// the request arrived in the warm-up.
func (s *stream) recordOutcome(arrival time.Time, err error) {
	if arrival.Before(s.run.measureStart) {
		return
	}
	now := time.Now()
	latency := now.Sub(arrival)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && now.After(s.run.measureStart.Add(s.run.experiment.Run.Duration())) {
		s.counts.Late++
		return
	}
	if err == nil {
		s.recordDone(now, latency)
		return
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		s.counts.Failed++
		s.codes["connection"]++
		return
	}
	s.codes[e.Code]++
	switch {
	case strings.Contains(e.Detail, "not run"):
		s.counts.Refused++
		_ = s.refusedLatency.RecordValue(latency.Microseconds())
	case strings.Contains(e.Detail, "not known"):
		s.counts.Unknown++
	default:
		s.counts.Failed++
	}
}

// recordDone records a request that succeeded at now: its count, latency and
// slice, and the gap since the previous success. It is called with mu held.
func (s *stream) recordDone(now time.Time, latency time.Duration) {
	s.counts.Done++
	if s.TargetLatency == 0 || latency <= s.TargetLatency.Duration() {
		s.counts.Good++
	}
	_ = s.doneLatency.RecordValue(latency.Microseconds())
	if slice := int(now.Sub(s.run.measureStart) / sliceDuration); slice >= 0 && slice < len(s.donePerSlice) {
		s.donePerSlice[slice]++
	}
	if !s.lastDone.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastDone))
	}
	s.lastDone = now
}
