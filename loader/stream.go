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
	// Latencies are kept from a microsecond to a minute with three digits.
	latencyLow    = 1
	latencyHigh   = 60_000_000
	latencyDigits = 3
	// backlogLimit is how many due requests wait for a free session.
	backlogLimit = 1 << 17
	// sliceLength is the length of the pieces of time that are plotted.
	sliceLength = 100 * time.Millisecond
)

// stream is a stream while it runs.
type stream struct {
	Stream
	run      *run
	rand     *rand.Rand
	sessions []*pgconn.PgConn

	mu      sync.Mutex
	counts  Counts
	done    *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
	slices  []int
	gap     time.Duration
	last    time.Time
	// Failures are the SQLSTATEs of requests that were not done.
	failures map[string]int
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Offered int `json:"offered"`
	Done    int `json:"done"`
	Good    int `json:"good"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	// Late are requests answered after the measured time; they count as nothing
	// else. Requests still waiting for a session then are in no other count.
	Late int `json:"late"`
}

// open opens the stream's sessions, several at a time.
func (s *stream) open(ctx context.Context) error {
	s.done = hdrhistogram.New(latencyLow, latencyHigh, latencyDigits)
	s.refused = hdrhistogram.New(latencyLow, latencyHigh, latencyDigits)
	s.failures = map[string]int{}
	s.slices = make([]int, int(s.run.experiment.Run.Duration()/sliceLength)+1)
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

// serve sends the stream's requests until the context ends.
func (s *stream) serve(ctx context.Context) {
	due := make(chan time.Time, backlogLimit)
	var workers sync.WaitGroup
	for number, conn := range s.sessions {
		workers.Go(func() { s.work(ctx, number, conn, due) })
	}
	s.arrive(ctx, due)
	close(due)
	workers.Wait()
}

// arrive makes requests due at random times of the stream's rate.
func (s *stream) arrive(ctx context.Context, due chan<- time.Time) {
	if s.Rate <= 0 {
		<-ctx.Done()
		return
	}
	next := time.Now()
	from := s.run.start.Add(s.From.Duration())
	if s.From > 0 {
		next = from
	}
	end := s.run.start.Add(s.run.experiment.Run.Duration())
	if s.Until > 0 {
		end = s.run.start.Add(s.Until.Duration())
	}
	for next.Before(end) {
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		s.offer(next)
		select {
		case due <- next:
		default:
		}
		next = next.Add(time.Duration(s.rand.ExpFloat64() / s.Rate * float64(time.Second)))
	}
}

func (s *stream) offer(at time.Time) {
	if at.Before(s.run.start) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Offered++
}

// work sends requests over one session. A session that broke is opened anew.
func (s *stream) work(ctx context.Context, number int, conn *pgconn.PgConn, due <-chan time.Time) {
	random := rand.New(rand.NewSource(s.run.experiment.Seed*1_000_003 + int64(number)))
	for round := 0; ; round++ {
		at := time.Now()
		if s.Rate > 0 {
			var more bool
			if at, more = <-due; !more || ctx.Err() != nil {
				break
			}
		} else {
			if ctx.Err() != nil {
				break
			}
			s.offer(at)
		}
		if conn == nil || conn.IsClosed() {
			opened, err := s.run.connect(ctx, s.Stream, number+round)
			if err != nil {
				s.note(at, err)
				continue
			}
			conn = opened
		}
		s.note(at, s.request(ctx, conn, random, fmt.Sprintf("%s-%d-%d", s.Name, number, round)))
	}
	if conn != nil {
		closing, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(closing)
	}
}

// request sends one request. A run's end does not cut it off.
func (s *stream) request(ctx context.Context, conn *pgconn.PgConn, random *rand.Rand, key string) error {
	id := random.Intn(rows)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if s.Work != WorkSession {
		_, err := conn.Exec(bounded, s.statement(s.Work, id, key)).ReadAll()
		return err
	}
	if _, err := conn.Exec(bounded, s.statement(WorkWrite, id, key)).ReadAll(); err != nil {
		return err
	}
	time.Sleep(s.Think.Duration())
	_, err := conn.Exec(bounded, s.statement(WorkRead, id, key)).ReadAll()
	return err
}

func (s *stream) statement(work Work, id int, key string) string {
	var hints []string
	if !s.Direct {
		hints = append(hints, "rank='"+s.Rank.String()+"'")
	}
	if work == WorkWrite {
		hints = append(hints, "request='"+key+"'")
	}
	if work == WorkAged {
		hints = append(hints, fmt.Sprintf("max_age='%dms'", s.Age))
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
	return fmt.Sprintf("%sSELECT v, pg_sleep(%g) FROM items WHERE id = '%d'", comment, s.Extra/1000, id)
}

// note records a request's outcome.
func (s *stream) note(due time.Time, err error) {
	if due.Before(s.run.start) {
		return
	}
	now := time.Now()
	took := now.Sub(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && now.After(s.run.start.Add(s.run.experiment.Run.Duration())) {
		s.counts.Late++
		return
	}
	if err == nil {
		s.noteDone(now, took)
		return
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		s.counts.Failed++
		s.failures["connection"]++
		return
	}
	s.failures[e.Code]++
	switch {
	case strings.Contains(e.Detail, "not run"):
		s.counts.Refused++
		_ = s.refused.RecordValue(took.Microseconds())
	case strings.Contains(e.Detail, "not known"):
		s.counts.Unknown++
	default:
		s.counts.Failed++
	}
}

func (s *stream) noteDone(now time.Time, took time.Duration) {
	s.counts.Done++
	if s.Target == 0 || took <= s.Target.Duration() {
		s.counts.Good++
	}
	_ = s.done.RecordValue(took.Microseconds())
	if slice := int(now.Sub(s.run.start) / sliceLength); slice >= 0 && slice < len(s.slices) {
		s.slices[slice]++
	}
	if !s.last.IsZero() {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	s.last = now
}
