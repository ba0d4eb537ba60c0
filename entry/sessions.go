package entry

// This file defines the status calls to agents: heartbeat, probe of requests
// in progress, report of held streams, and exchange of configurations, all in
// one message on the session that traffic uses.

import (
	"context"
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/announcer"
	"persimmonvalve/follower"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
)

func (e *Entry) frame() *wire.Frame {
	return &wire.Frame{Sender: e.settings.Member.Name, Incarnation: string(e.settings.Member.Incarnation)}
}

// askAll asks the agents whose endpoints or streams this entry uses.
func (e *Entry) askAll(now time.Time) {
	hints := e.hints(now)
	for address, peer := range e.wanted() {
		name := peer.name
		if e.asking[name] || now.Sub(e.asked[name]) < peer.every {
			continue
		}
		e.asking[name] = true
		e.asked[name] = now
		go e.ask(name, address, hints[name])
	}
}

// hinted is how many live agents are asked to watch a stream without a holder.
const hinted = 2

// hints returns, for live agents, the streams that seem to have no holder. An
// entry sees who lives on its sessions; the candidates in the membership table
// may all be gone.
func (e *Entry) hints(now time.Time) map[string][]string {
	var orphans []pv.StreamName
	for _, stream := range e.streams {
		if now.Sub(e.cells[stream].heard) > cellSilence {
			orphans = append(orphans, stream)
		}
	}
	if len(orphans) == 0 {
		return nil
	}
	var live []pv.Member
	for _, m := range e.members.Members(pv.RoleAgent) {
		if now.Sub(e.alive[m.Name]) <= e.settings.Routing.Silence {
			live = append(live, m)
		}
	}
	hints := map[string][]string{}
	for _, stream := range orphans {
		for _, m := range live {
			if e.settings.Layout.Rank(stream, live, m.Name) < hinted {
				hints[m.Name] = append(hints[m.Name], string(stream))
			}
		}
	}
	return hints
}

// peer is an agent that this entry has a session with.
type peer struct {
	name  string
	every time.Duration // between status calls
}

// wanted returns the agents that this entry has sessions with. Routing needs
// fresh counts of its endpoints; the state of streams may lag.
func (e *Entry) wanted() map[netip.AddrPort]peer {
	wanted := map[netip.AddrPort]peer{}
	for _, ep := range e.routing.Endpoints() {
		wanted[ep.Member.Address] = peer{ep.Member.Name, e.settings.StatusEvery}
	}
	for _, stream := range e.streams {
		h, ok := e.members.Holder(stream)
		if !ok {
			continue
		}
		address, err := netip.ParseAddrPort(h.Address)
		if _, known := wanted[address]; err == nil && !known {
			wanted[address] = peer{h.Member, e.settings.HolderEvery}
		}
	}
	return wanted
}

// ask makes one status call.
func (e *Entry) ask(name string, address netip.AddrPort, watch []string) {
	ctx, cancel := context.WithTimeout(e.ctx, e.settings.Routing.Silence)
	defer cancel()
	f := e.frame()
	f.Body = &wire.Frame_Status{Status: &wire.Status{Watch: watch}}
	reply, _, err := e.client.Call(ctx, address, f)
	e.control.Post(func() {
		e.asking[name] = false
		if status := reply.GetStatusReply(); err == nil && status != nil {
			e.heard(time.Now(), name, address, reply, status)
		}
	})
}

func (e *Entry) heard(now time.Time, name string, address netip.AddrPort, f *wire.Frame, s *wire.StatusReply) {
	e.alive[name] = now
	e.routing.Report(now, name, int(s.Running+s.Queued), int(s.Slots), s.Leaving)
	for _, h := range s.Held {
		stream := pv.StreamName(h.Stream)
		e.cells[stream] = cellStatus{held: h, heard: now}
		e.members.Note(announcer.Hold{
			Stream: stream, Term: pv.Term(h.Term), Member: name, Address: address.String(), Holder: pv.Incarnation(f.Incarnation),
		})
		if h.Waiting > 0 && e.settings.Layout.IsHome(stream) {
			go e.drivePending(stream)
		}
	}
	e.exchange(f.ConfigNext, address)
}

// exchange passes configurations on: to an agent that is behind, and from one
// that is ahead, as when the log can't be read here.
func (e *Entry) exchange(theirs int64, address netip.AddrPort) {
	state, known := e.config.State()
	if known && theirs == int64(state.Next) {
		return
	}
	body := &wire.Config{}
	if known && theirs < int64(state.Next) {
		body.State = follower.EncodeState(state)
	}
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.settings.CallTimeout)
		defer cancel()
		f := e.frame()
		f.Body = &wire.Frame_Config{Config: body}
		reply, _, err := e.client.Call(ctx, address, f)
		if err != nil || len(reply.GetConfig().GetState()) == 0 {
			return
		}
		e.control.Post(func() { e.adopt(reply.GetConfig().State) })
	}()
}

func (e *Entry) adopt(data []byte) {
	state, err := follower.DecodeState(data)
	if err != nil {
		e.logger.Warn("entry: a peer's configuration can't be read", logfield.Error(err))
		return
	}
	if e.config.Adopt(state) {
		e.configured(time.Now())
	}
}
