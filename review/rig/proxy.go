package main

// This file defines a proxy between a worker and the process beside it, which delays what
// the worker sends, like a partition whose connections recover at different times.

import (
	"io"
	"net"
	"sync"
	"time"
)

type proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	held     bool          // what arrives is held
	released chan struct{} // closed when held connections go on
	late     time.Duration // for which connections that have held bytes are delayed further
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("proxy: %v", err)
	}
	p := &proxy{listener: l, target: target, released: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut begins a partition.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = true
}

// heal ends the partition. New connections pass at once; what is held on earlier ones is
// delivered after a further time, as with a retransmission after a backoff.
func (p *proxy) heal(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.late = false, late
	close(p.released)
	p.released = make(chan struct{})
}

// wait returns when bytes that have just arrived may be passed on.
func (p *proxy) wait() {
	p.mu.Lock()
	held, released := p.held, p.released
	p.mu.Unlock()
	if !held {
		return
	}
	<-released
	p.mu.Lock()
	late := p.late
	p.mu.Unlock()
	time.Sleep(late)
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	p.wait()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(conn, out)
		conn.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			p.wait()
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF { // the sender closed its end: what it sent is delivered all the same
				_ = out.(*net.TCPConn).CloseWrite()
				time.Sleep(time.Second)
			}
			return
		}
	}
}

// newFarProxy returns the address of a proxy that delays all bytes by the time that they
// take to another region, each way.
func newFarProxy(target string, delay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("proxy: %v", err)
	}
	type chunk struct {
		at   time.Time
		data []byte
	}
	pass := func(to, from net.Conn) {
		queue := make(chan chunk, 1024)
		go func() {
			for c := range queue {
				time.Sleep(time.Until(c.at))
				if _, err := to.Write(c.data); err != nil {
					break
				}
			}
			to.Close()
			for range queue { // the sender's end is closed below
			}
		}()
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- chunk{time.Now().Add(delay), buffer[:n]}
			}
			if err != nil {
				close(queue)
				from.Close()
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				continue
			}
			go pass(out, conn)
			go pass(conn, out)
		}
	}()
	return l.Addr().String()
}
