package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of an experiment.
type Report struct {
	Name   string `json:"name"`
	Policy string `json:"policy,omitempty"`
	// Seconds is the length of the measured time.
	Seconds float64        `json:"seconds"`
	Streams []StreamReport `json:"streams"`
	// Reads is the number of reads answered in the measured time.
	Reads float64 `json:"reads"`
	// ReplicaShare is the part of Reads that replicas answered, from 0 to 1.
	ReplicaShare float64 `json:"replica"`
}

// StreamReport holds the results of a stream. Times are in milliseconds.
type StreamReport struct {
	Name string `json:"name"`
	Counts
	// Rate is the number of requests done per second.
	Rate float64 `json:"rate"`
	// P50, P99 and Max are latencies of requests done.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// RefusalP50 is the median latency of refused requests.
	RefusalP50 float64 `json:"refusal"`
	// LongestGap is the longest time between two consecutive requests done.
	LongestGap float64 `json:"gap"`
	// Codes counts the requests that were not done, by SQLSTATE, or under
	// "connection" if no server error was received.
	Codes map[string]int `json:"codes,omitempty"`
	// DonePerSlice holds the number of requests done in each tenth of a second of
	// the measured time.
	DonePerSlice []int `json:"slices"`
}

func (r *run) report() Report {
	out := Report{
		Name:    r.experiment.Name,
		Policy:  r.experiment.Policy,
		Seconds: r.experiment.Run.Duration().Seconds(),
	}
	total := r.countReads()
	out.Reads = total.all - r.warmupReads.all
	if out.Reads > 0 {
		out.ReplicaShare = (total.replica - r.warmupReads.replica) / out.Reads
	}
	for _, s := range r.streams {
		out.Streams = append(out.Streams, s.report(out.Seconds))
	}
	return out
}

func (s *stream) report(seconds float64) StreamReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamReport{
		Name:         s.Name,
		Counts:       s.counts,
		Rate:         float64(s.counts.Done) / seconds,
		P50:          percentileMillis(s.doneLatency, 50),
		P99:          percentileMillis(s.doneLatency, 99),
		Max:          float64(s.doneLatency.Max()) / 1000,
		RefusalP50:   percentileMillis(s.refusedLatency, 50),
		LongestGap:   float64(s.longestGap) / float64(time.Millisecond),
		Codes:        s.codes,
		DonePerSlice: s.donePerSlice,
	}
}

// percentileMillis returns the value at a percentile, from 0 to 100, of a
// histogram of microseconds. The result is in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Print writes the report to out as a table with a line for each stream. It
// returns the error of flushing the table.
func (r Report) Print(out io.Writer) error {
	policy := r.Policy
	if policy == "" {
		policy = "heatherhall"
	}
	_, _ = fmt.Fprintf(out, "%s, policy %s, %.0f s; reads on replicas %.1f%% of %.0f\n", r.Name, policy, r.Seconds, r.ReplicaShare*100, r.Reads)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\toffered\tdone\tgood\trefused\tunknown\tfailed\tdone/s\tp50 ms\tp99 ms\tmax ms\trefusal ms\tgap ms\t")
	for _, s := range r.Streams {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.2f\t%.0f\t\n",
			s.Name, s.Offered, s.Done, s.Good, s.Refused, s.Unknown, s.Failed, s.Rate, s.P50, s.P99, s.Max, s.RefusalP50, s.LongestGap)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range r.Streams {
		if len(s.Codes) > 0 {
			_, _ = fmt.Fprintf(out, "%s not done: %v\n", s.Name, s.Codes)
		}
	}
	return nil
}

// Save writes the report to a file as indented JSON. It fails with KindRun.
func (r Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return &Error{Op: "save", Kind: KindRun, Err: err}
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return &Error{Op: "save", Kind: KindRun, Err: err}
	}
	return nil
}

// ReadReport reads a report that Save has written. It fails with KindInvalid.
func ReadReport(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if err != nil {
		return r, &Error{Op: "load", Kind: KindInvalid, Err: err}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, &Error{Op: "load " + path, Kind: KindInvalid, Err: err}
	}
	return r, nil
}

// WriteComparison writes a table with the streams that both reports have, each
// with the figures of before and after side by side. It returns the error of
// flushing the table.
func WriteComparison(out io.Writer, before, after Report) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "stream\tdone/s\tthen\tgood\tthen\trefused\tthen\tp50 ms\tthen\tp99 ms\tthen\t\n")
	for _, a := range before.Streams {
		for _, b := range after.Streams {
			if a.Name != b.Name {
				continue
			}
			_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
				a.Name, a.Rate, b.Rate, a.Good, b.Good, a.Refused, b.Refused, a.P50, b.P50, a.P99, b.P99)
		}
	}
	_, _ = fmt.Fprintf(w, "reads on replicas\t%.1f%%\t%.1f%%\t\t\t\t\t\t\t\t\t\n", before.ReplicaShare*100, after.ReplicaShare*100)
	return w.Flush()
}

// Plot writes the throughput of all streams over time to an image file. The
// path's extension selects the format, such as .svg or .png. It fails with
// KindRun.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests done per second"
	p.Legend.Top = true
	var lines []any
	for _, s := range r.Streams {
		points := make(plotter.XYs, 0, len(s.DonePerSlice))
		for i, count := range s.DonePerSlice {
			points = append(points, plotter.XY{
				X: float64(i) * sliceDuration.Seconds(),
				Y: float64(count) / sliceDuration.Seconds(),
			})
		}
		lines = append(lines, s.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return &Error{Op: "plot", Kind: KindRun, Err: err}
	}
	if err := p.Save(8*vg.Inch, 4*vg.Inch, path); err != nil {
		return &Error{Op: "plot", Kind: KindRun, Err: err}
	}
	return nil
}
