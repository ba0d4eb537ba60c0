//go:build reviewrig

package main

// This file defines the proxy between a worker and the supervisor on its machine. It can
// hold one check-in back.

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// proxy passes a worker's messages on to its supervisor, each on a connection of its own.
type proxy struct {
	rec     *record
	control string // of the supervisor

	mu          sync.Mutex
	holdingNext bool // the next message is held back
	heldPath    string
	held        []byte // the message that is held back
}

// serve starts the proxy on an address.
func (p *proxy) serve(listen, control string) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	p.control = control
	go func() { _ = http.Serve(l, p) }()
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	hold := p.holdingNext
	if hold {
		p.holdingNext, p.heldPath, p.held = false, r.URL.Path, body
	}
	p.mu.Unlock()
	if hold {
		p.rec.addf("%s %s is held up on its way", r.URL.Path, body)
		<-r.Context().Done()
		return
	}
	status, err := p.forward(r.URL.Path, body)
	if err != nil {
		resetConnection(w)
		return
	}
	answer(w, status, map[string]any{})
}

func (p *proxy) forward(path string, body []byte) (status int, err error) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// holdNext holds the next message back, and returns once it has come.
func (p *proxy) holdNext(s *site) error {
	p.mu.Lock()
	p.holdingNext = true
	p.mu.Unlock()
	return s.await("a message is held back", 3*heartbeatInterval, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.held != nil
	})
}

// releaseHeld delivers the message that is held back, as soon as the supervisor accepts
// connections.
func (p *proxy) releaseHeld() {
	const retryInterval, limit = 5 * time.Millisecond, 2 * time.Second
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(retryInterval) {
		if status, err := p.forward(p.heldPath, p.held); err == nil {
			p.rec.addf("%s %s arrives and is answered with %d", p.heldPath, p.held, status)
			return
		}
	}
}

// resetConnection resets the connection of a request instead of answering it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
