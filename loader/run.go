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

// customerPassword is the password of all customers, whether the deployment is
// emulated or not.
const customerPassword = "load"

// rowCount is the number of rows in each database's table. Each request uses a
// random one.
const rowCount = 512

// emulationNetwork is the second byte of an emulation's loopback addresses.
const emulationNetwork = 20

// run is an experiment in progress.
type run struct {
	experiment Experiment
	// emulation is nil if the experiment names its targets.
	emulation *emulator.Emulation
	// targets are the client addresses of the daemons.
	targets []string
	streams []*stream
	// measureStart is the end of the warm-up.
	measureStart time.Time
	// warmupReads are the reads answered before the measured time.
	warmupReads readCounts
}

// readCounts holds the numbers of reads answered by replicas and by all servers.
type readCounts struct {
	replica float64
	all     float64
}

// Run runs an experiment and returns its report. The emulated daemons log to
// log. It fails if the emulation cannot be started, if preparing the tables and
// sessions fails, or if a fault cannot be injected; requests that fail are
// counted in the report.
func Run(ctx context.Context, x Experiment, log io.Writer) (Report, error) {
	r := &run{experiment: x, targets: x.Targets}
	if len(x.Targets) == 0 {
		if err := r.startEmulation(ctx, log); err != nil {
			return Report{}, err
		}
		defer r.emulation.Stop()
	}
	if err := r.prepare(ctx); err != nil {
		return Report{}, err
	}
	if err := r.runStreams(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

func (r *run) startEmulation(ctx context.Context, log io.Writer) error {
	lists, err := r.customerLists()
	if err != nil {
		return err
	}
	policy := baselines[r.experiment.Policy]
	r.emulation, err = emulator.New(ctx, r.experiment.size(), emulator.Options{
		Network:   emulationNetwork,
		Log:       log,
		Decisions: r.experiment.Decisions,
		Lists:     lists,
		Override: func(s *decider.Settings) {
			policy(s)
			for name, d := range s.Databases {
				d.Preempt = d.Preempt && !r.experiment.NoPreempt
				r.experiment.MaxWaits.apply(&d.RankPolicies)
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

// customerLists returns lists in which the customers of all streams may use all
// databases.
func (r *run) customerLists() (planner.File, error) {
	verifier, err := planner.NewVerifier("load", customerPassword, "the salt of experiments")
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

// connect opens a connection for a stream. The number selects the daemon, round
// robin; a direct stream connects to the database's initial primary.
func (r *run) connect(ctx context.Context, s Stream, number int) (*pgconn.PgConn, error) {
	address := r.targets[number%len(r.targets)]
	if s.Direct {
		address = r.emulation.Backends[s.Database+"-0"].Address()
	}
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", s.Customer, customerPassword, address, s.Database)
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindRun, Err: err}
	}
	return conn, nil
}

// prepare creates the tables and opens the sessions of all streams.
func (r *run) prepare(ctx context.Context) error {
	created := map[string]bool{}
	for _, s := range r.experiment.Streams {
		if created[s.Database] {
			continue
		}
		created[s.Database] = true
		if err := r.createTable(ctx, s); err != nil {
			return err
		}
	}
	for i, s := range r.experiment.Streams {
		opened := &stream{Stream: s, run: r, rand: rand.New(rand.NewSource(r.experiment.Seed + int64(i)))}
		if err := opened.openSessions(ctx); err != nil {
			return err
		}
		r.streams = append(r.streams, opened)
	}
	return nil
}

// createTable creates and fills the table of the stream's database, through a
// daemon even for a direct stream.
func (r *run) createTable(ctx context.Context, s Stream) error {
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
	for i := 1; i < rowCount; i++ {
		insert += fmt.Sprintf(", ('%d', '0')", i)
	}
	if _, err := conn.Exec(ctx, insert+" ON CONFLICT DO NOTHING").ReadAll(); err != nil {
		return &Error{Op: "prepare", Kind: KindRun, Err: err}
	}
	return nil
}

// runStreams runs all streams and the fault script until the measured time is
// over. It returns the error of the fault script.
func (r *run) runStreams(ctx context.Context) error {
	r.measureStart = time.Now().Add(r.experiment.WarmUp.Duration())
	ctx, cancel := context.WithDeadline(ctx, r.measureStart.Add(r.experiment.Run.Duration()))
	defer cancel()
	faultErr := make(chan error, 1)
	go func() { faultErr <- r.runFaults(ctx) }()
	var workers sync.WaitGroup
	for _, s := range r.streams {
		workers.Add(1)
		go func() {
			defer workers.Done()
			s.sendRequests(ctx)
		}()
	}
	workers.Wait()
	cancel()
	return <-faultErr
}

// runFaults waits for the end of the warm-up, counts the reads answered so far,
// and injects the faults of the script at their times.
func (r *run) runFaults(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Until(r.measureStart)):
	}
	r.warmupReads = r.countReads()
	for _, f := range r.experiment.Faults {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(r.measureStart.Add(f.At.Duration()))):
		}
		if err := r.injectFault(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects a fault. It fails with KindInvalid without an emulation.
func (r *run) injectFault(ctx context.Context, f Fault) error {
	if r.emulation == nil {
		return &Error{Op: "fault", Kind: KindInvalid, Err: errors.New("faults need an emulation")}
	}
	switch {
	case f.Kill != "":
		return r.emulation.KillServer(f.Kill)
	case f.Server != "":
		return r.emulation.SetFault(f.Server, f.Set)
	}
	return r.emulation.SetHosts(ctx, string(f.Hosts))
}

// countReads returns the numbers of reads that the emulated daemons have
// answered so far, 0 without an emulation.
func (r *run) countReads() readCounts {
	var out readCounts
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
