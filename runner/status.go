package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/heatherhall/heatherhall/decider"
)

// serveStatus serves metrics, health, readiness and status over HTTP in the
// background until the context ends. The channel that it returns is closed when
// the server has stopped; without a metrics address it is closed at once.
func (r *Runner) serveStatus(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if r.settings.Host.Metrics == "" {
		close(done)
		return done
	}
	r.metrics.Gauge("heatherhall_connections", "Callers' connections.", func() float64 {
		return float64(r.listener.Connections())
	})
	r.metrics.Gauge("heatherhall_lists_version", "Version of the operators' lists in force.", func() float64 {
		return float64(r.currentLists().Version())
	})
	r.metrics.Gauge("heatherhall_vacant_seconds", "Time that databases kept here were without a primary.", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.node.TimeWithoutPrimary().Duration().Seconds()
	})
	r.metrics.Gauge("heatherhall_peer_sent_bytes", "Bytes sent to other daemons so far.", func() float64 {
		return float64(r.relayer.SentBytes())
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.metrics.Registry(), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", r.handleReady)
	mux.HandleFunc("GET /status", r.handleStatus)
	if r.settings.Profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	server := &http.Server{Addr: r.settings.Host.Metrics, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		defer close(done)
		defer stop()
		if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
			r.log.Errorf("observer: serving metrics at %s failed: %v", r.settings.Host.Metrics, err)
		}
	}()
	return done
}

func (r *Runner) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Runner) handleStatus(w http.ResponseWriter, _ *http.Request) {
	data, err := json.Marshal(r.Status())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// Status returns the status of the daemon, its hosts and the databases it is home
// of.
func (r *Runner) Status() decider.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Status()
}
