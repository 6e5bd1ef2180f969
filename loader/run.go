package loader

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/emulator"
	"github.com/heatherhall/heatherhall/planner"
)

// password is that of all customers of an emulation.
const password = "load"

// rows is the number of rows that requests are spread over.
const rows = 512

// network is the second number of an emulation's loopback addresses.
const network = 20

// run is one experiment while it runs.
type run struct {
	experiment Experiment
	emulation  *emulator.Emulation
	targets    []string
	streams    []*stream
	start      time.Time
	// warm are the reads counted before the measured part.
	warm reads
}

// reads are numbers of reads answered.
type reads struct {
	replica float64
	all     float64
}

// Run runs an experiment and returns its report. Daemons' logs go to log.
func Run(ctx context.Context, x Experiment, log io.Writer) (Report, error) {
	r := &run{experiment: x, targets: x.Targets}
	if len(x.Targets) == 0 {
		if err := r.emulate(ctx, log); err != nil {
			return Report{}, err
		}
		defer r.emulation.Stop()
	}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	if err := r.load(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

func (r *run) emulate(ctx context.Context, log io.Writer) error {
	lists, err := r.lists()
	if err != nil {
		return err
	}
	policy := policies[r.experiment.Policy]
	r.emulation, err = emulator.New(ctx, r.experiment.size(), emulator.Options{
		Network:   network,
		Log:       log,
		Decisions: r.experiment.Decisions,
		Lists:     lists,
		Tune: func(s *decider.Settings) {
			policy(s)
			for name, d := range s.Databases {
				d.Preempt = d.Preempt && !r.experiment.Keep
				r.experiment.Limits.apply(&d.RankPolicies)
				s.Databases[name] = d
			}
		},
	})
	if err != nil {
		return err
	}
	for _, d := range r.emulation.Daemons {
		r.targets = append(r.targets, d.Address)
	}
	return nil
}

// lists returns lists that hold the streams' customers.
func (r *run) lists() (planner.File, error) {
	verifier, err := planner.NewVerifier("load", password, "the salt of experiments")
	if err != nil {
		return planner.File{}, err
	}
	file := planner.File{Plans: []planner.Plan{{Name: "load", Databases: []string{"*"}}}}
	seen := map[string]bool{}
	for _, s := range r.experiment.Streams {
		if !seen[s.Customer] {
			seen[s.Customer] = true
			file.Customers = append(file.Customers, planner.Customer{Name: s.Customer, Plan: "load", Verifier: verifier.String()})
		}
	}
	return file, nil
}

// connect opens a connection to one of the daemons, or to a primary.
func (r *run) connect(ctx context.Context, s Stream, number int) (*pgconn.PgConn, error) {
	address := r.targets[number%len(r.targets)]
	if s.Direct {
		address = r.emulation.Backends[s.Database+"-0"].Address()
	}
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", s.Customer, password, address, s.Database)
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindRun, Err: err}
	}
	return conn, nil
}

// prepare makes the tables and opens the streams' sessions.
func (r *run) prepare(ctx context.Context) error {
	made := map[string]bool{}
	for _, s := range r.experiment.Streams {
		if made[s.Database] {
			continue
		}
		made[s.Database] = true
		if err := r.makeTable(ctx, s); err != nil {
			return err
		}
	}
	for i, s := range r.experiment.Streams {
		opened := &stream{Stream: s, run: r, rand: rand.New(rand.NewSource(r.experiment.Seed + int64(i)))}
		if err := opened.open(ctx); err != nil {
			return err
		}
		r.streams = append(r.streams, opened)
	}
	return nil
}

func (r *run) makeTable(ctx context.Context, s Stream) error {
	s.Direct = false
	conn, err := r.connect(ctx, s, 0)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	sql := "CREATE TABLE IF NOT EXISTS items (id text PRIMARY KEY, v text)"
	if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
		return &Error{Op: "prepare", Kind: KindRun, Err: err}
	}
	insert := "INSERT INTO items (id, v) VALUES ('0', '0')"
	for i := 1; i < rows; i++ {
		insert += fmt.Sprintf(", ('%d', '0')", i)
	}
	if _, err := conn.Exec(ctx, insert+" ON CONFLICT DO NOTHING").ReadAll(); err != nil {
		return &Error{Op: "prepare", Kind: KindRun, Err: err}
	}
	return nil
}

// load runs all streams and faults to their end.
func (r *run) load(ctx context.Context) error {
	r.start = time.Now().Add(r.experiment.Warm.Duration())
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(r.experiment.Run.Duration()))
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- r.faults(ctx) }()
	var done sync.WaitGroup
	for _, s := range r.streams {
		done.Add(1)
		go func() {
			defer done.Done()
			s.serve(ctx)
		}()
	}
	done.Wait()
	cancel()
	return <-failed
}

// faults carries out the fault script of the measured part.
func (r *run) faults(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Until(r.start)):
	}
	r.warm = r.reads()
	for _, f := range r.experiment.Faults {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(r.start.Add(f.At.Duration()))):
		}
		if err := r.fault(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) fault(ctx context.Context, f Fault) error {
	if r.emulation == nil {
		return &Error{Op: "fault", Kind: KindInvalid, Err: errors.New("faults need an emulation")}
	}
	switch {
	case f.Kill != "":
		return r.emulation.KillServer(f.Kill)
	case f.Server != "":
		return r.emulation.Fault(f.Server, f.Set)
	}
	return r.emulation.SetHosts(ctx, string(f.Hosts))
}

// reads returns the numbers of reads that the daemons have answered so far.
func (r *run) reads() reads {
	var out reads
	if r.emulation == nil {
		return out
	}
	for _, d := range r.emulation.Daemons {
		for _, role := range []string{"replica", "primary"} {
			var m dto.Metric
			if err := d.Runner.Metrics().Reads.WithLabelValues(role).Write(&m); err != nil {
				continue
			}
			out.all += m.GetCounter().GetValue()
			if role == "replica" {
				out.replica += m.GetCounter().GetValue()
			}
		}
	}
	return out
}
