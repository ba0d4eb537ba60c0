package runner

// This file defines the logger, the HTTP servers and the handling of signals.

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
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
	"persimmonvalve/limiter"
)

// NewLogger returns a logger with the level and format of the settings. It writes
// to standard output and never blocks.
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

// NewRegistry returns a registry with the metrics of the Go runtime and the
// process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// garbageShare is the fraction of the process's memory above which the garbage collector works
// harder. The limits of limiter keep what is in use below it.
const garbageShare = 0.7

// MemoryBytes returns the memory in bytes that the process may use, or what counts if it isn't
// known.
func MemoryBytes(c Common) int64 { return cmp.Or(c.MemoryMB<<20, limiter.DefaultMemoryBytes) }

// NewLimiter returns the limits of the process's servers by its settings, and bounds the memory
// that garbage takes.
func NewLimiter(c Common, logger *zap.Logger, r *prometheus.Registry) *limiter.Limiter {
	memoryBytes := MemoryBytes(c)
	debug.SetMemoryLimit(int64(garbageShare * float64(memoryBytes)))
	settings := limiter.NewSettings(memoryBytes, c.MaxConnections, c.BodyTimeout)
	settings.AnswerTimeout = c.AnswerTimeout
	return limiter.New(settings, logger, r)
}

// HTTPServer is an HTTP server with a graceful stop.
type HTTPServer struct {
	server   *http.Server
	draining atomic.Bool
}

// StartHTTP starts a server for a handler on a listener, within the limits of the process.
func StartHTTP(l net.Listener, h http.Handler, limits *limiter.Limiter, logger *zap.Logger) *HTTPServer {
	s := &HTTPServer{}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})}
	limits.Configure(s.server)
	go func() {
		if err := s.server.Serve(limits.Listener(l)); err != nil && err != http.ErrServerClosed {
			logger.Error("http: server stopped unexpectedly", logfield.Error(err))
		}
	}()
	return s
}

// Drain makes each response ask the caller to close its connection, and returns
// after the period or when ctx is done. Idle connections stay open, since a caller
// may be about to send a request on one.
func (s *HTTPServer) Drain(ctx context.Context, period time.Duration) {
	s.draining.Store(true)
	select {
	case <-time.After(period):
	case <-ctx.Done():
	}
}

// Stop closes the listener, waits for the requests in progress until ctx is done,
// and stops the server.
func (s *HTTPServer) Stop(ctx context.Context) error {
	return Error.Wrap(s.server.Shutdown(ctx))
}

// AdminRoute is a route of the admin server beside the common ones.
type AdminRoute struct {
	Pattern string // of http.ServeMux
	Handler http.Handler
}

// StartAdmin starts the admin server with /healthz, /readyz, /metrics and the given routes.
func StartAdmin(address netip.AddrPort, ready func() bool, r *prometheus.Registry, limits *limiter.Limiter, logger *zap.Logger, routes ...AdminRoute) (stop func(context.Context) error, err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	for _, route := range routes {
		mux.Handle(route.Pattern, route.Handler)
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	logger.Info("admin: serving health checks and metrics", zap.Stringer("address", l.Addr()))
	return StartHTTP(l, mux, limits, logger).Stop, nil
}

// StopTimeout is the time limit of a graceful stop.
const StopTimeout = 30 * time.Second

// WaitForStopSignal returns when the process receives SIGTERM or SIGINT. It
// ignores SIGHUP, as settings come from flags and environment variables, which are
// read only at the start of a process.
func WaitForStopSignal(logger *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for s := range signals {
		if s == syscall.SIGHUP {
			logger.Info("settings: SIGHUP ignored; settings are read only at the start")
			continue
		}
		logger.Info("process: stopping on signal", zap.Stringer("signal", s))
		return
	}
}
