package runner

// This file defines how a program runs until it is told to stop.

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/logsink"
)

// NewLogger returns the logger that the settings ask for. It writes to standard
// output and never blocks.
func NewLogger(c Common) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zapcore.NewJSONEncoder(encoding)
	if c.LogFormat == "console" {
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	return zap.New(zapcore.NewCore(encoder, logsink.New(os.Stdout), level)), nil
}

// NewRegistry returns a registry with the process's own metrics.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// headerTimeout bounds how long a server waits for a request's headers.
const headerTimeout = 5 * time.Second

// HTTPServer serves a handler and ends gracefully.
type HTTPServer struct {
	server   *http.Server
	draining atomic.Bool
}

// ServeHTTP serves a handler on a listener.
func ServeHTTP(l net.Listener, h http.Handler, logger *zap.Logger) *HTTPServer {
	s := &HTTPServer{}
	s.server = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})}
	go func() {
		if err := s.server.Serve(l); err != nil && err != http.ErrServerClosed {
			logger.Error("http: server ended", logfield.Error(err))
		}
	}()
	return s
}

// Drain asks callers to leave for some time: each answer closes its
// connection. An idle connection isn't closed under a caller that may be about
// to use it.
func (s *HTTPServer) Drain(ctx context.Context, d time.Duration) {
	s.draining.Store(true)
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Stop finishes the requests in progress and ends the server.
func (s *HTTPServer) Stop(ctx context.Context) error {
	return Error.Wrap(s.server.Shutdown(ctx))
}

// ServeAdmin serves /healthz, /readyz and /metrics.
func ServeAdmin(address netip.AddrPort, ready func() bool, r *prometheus.Registry, logger *zap.Logger) (stop func(context.Context) error, err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	logger.Info("admin: serves health and metrics", zap.Stringer("address", l.Addr()))
	return ServeHTTP(l, mux, logger).Stop, nil
}

// StopTimeout bounds a graceful stop.
const StopTimeout = 30 * time.Second

// Wait returns when the process is told to stop by SIGTERM or SIGINT. SIGHUP
// changes nothing: all settings come from flags and environment, which only a
// new process reads.
func Wait(logger *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for s := range signals {
		if s == syscall.SIGHUP {
			logger.Info("settings: reload asked for, nothing to reload")
			continue
		}
		logger.Info("process: stop asked for", zap.Stringer("signal", s))
		return
	}
}
