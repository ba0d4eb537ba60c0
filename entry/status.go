package entry

// This file defines the status calls to agents. One status call is a heartbeat
// and returns the requests in progress, the streams that the agent holds, and
// its configuration version. It uses the same session as the requests.

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

// newFrame returns a frame with this entry as the sender.
func (e *Entry) newFrame() *wire.Frame {
	return &wire.Frame{Sender: e.settings.Member.Name, Incarnation: string(e.settings.Member.Incarnation)}
}

// sendStatusCalls sends the status calls that are due.
func (e *Entry) sendStatusCalls(now time.Time) {
	hints := e.watchHints(now)
	for address, target := range e.statusTargets() {
		name := target.name
		if e.statusCallPending[name] || now.Sub(e.statusCallAt[name]) < target.interval {
			continue
		}
		e.statusCallPending[name] = true
		e.statusCallAt[name] = now
		go e.callStatus(name, address, hints[name])
	}
}

// watchersPerStream is the number of live agents that are asked to watch a
// stream without a holder, that is, to be candidates for its term.
const watchersPerStream = 2

// watchHints returns, by live agent, the streams without a recent status that
// the agent is asked to watch. Live agents are those that answered a status call
// recently. The membership table alone isn't enough, because all candidates in it
// may have stopped.
func (e *Entry) watchHints(now time.Time) map[string][]string {
	var unheld []pv.StreamName
	for _, stream := range e.streams {
		if now.Sub(e.streamStatuses[stream].reportedAt) > maxStreamStatusAge {
			unheld = append(unheld, stream)
		}
	}
	if len(unheld) == 0 {
		return nil
	}
	var live []pv.Member
	for _, m := range e.members.Members(pv.RoleAgent) {
		if now.Sub(e.statusReplyAt[m.Name]) <= e.settings.Router.SuspicionTimeout {
			live = append(live, m)
		}
	}
	hints := map[string][]string{}
	for _, stream := range unheld {
		for _, m := range live {
			if e.settings.Layout.Rank(stream, live, m.Name) < watchersPerStream {
				hints[m.Name] = append(hints[m.Name], string(stream))
			}
		}
	}
	return hints
}

// statusTarget is an agent that this entry sends status calls to.
type statusTarget struct {
	name     string
	interval time.Duration // between status calls
}

// statusTargets returns the agents of the endpoints that this entry uses and the
// holders of all streams. The router needs recent counts of requests in progress,
// so agents of endpoints get the shorter interval; a stream's status may be
// older.
func (e *Entry) statusTargets() map[netip.AddrPort]statusTarget {
	targets := map[netip.AddrPort]statusTarget{}
	for _, ep := range e.router.Endpoints() {
		targets[ep.Member.Address] = statusTarget{ep.Member.Name, e.settings.StatusInterval}
	}
	for _, stream := range e.streams {
		hold, ok := e.members.Holder(stream)
		if !ok {
			continue
		}
		address, err := netip.ParseAddrPort(hold.Address)
		if _, known := targets[address]; err == nil && !known {
			targets[address] = statusTarget{hold.Member, e.settings.HolderStatusInterval}
		}
	}
	return targets
}

// callStatus makes one status call.
func (e *Entry) callStatus(name string, address netip.AddrPort, watch []string) {
	ctx, cancel := context.WithTimeout(e.ctx, e.settings.Router.SuspicionTimeout)
	defer cancel()
	frame := e.newFrame()
	frame.Body = &wire.Frame_Status{Status: &wire.Status{Watch: watch}}
	reply, _, err := e.client.Call(ctx, address, frame)
	e.eventLoop.Post(func() {
		e.statusCallPending[name] = false
		if status := reply.GetStatusReply(); err == nil && status != nil {
			e.applyStatus(time.Now(), name, address, reply, status)
		}
	})
}

// applyStatus applies an agent's reply to routing, stream statuses and
// membership.
func (e *Entry) applyStatus(now time.Time, name string, address netip.AddrPort, frame *wire.Frame, status *wire.StatusReply) {
	e.statusReplyAt[name] = now
	e.router.Report(now, name, int(status.Running+status.Queued), int(status.Slots), status.Leaving)
	for _, held := range status.Held {
		stream := pv.StreamName(held.Stream)
		e.streamStatuses[stream] = streamStatus{held: held, reportedAt: now}
		e.members.RecordHolder(announcer.StreamHolder{
			Stream: stream, Term: pv.Term(held.Term), Member: name, Address: address.String(), Incarnation: pv.Incarnation(frame.Incarnation),
		})
		if held.Waiting > 0 && e.settings.Layout.IsHome(stream) {
			go e.transferPending(stream)
		}
	}
	e.exchangeConfiguration(frame.ConfigNext, address)
}

// exchangeConfiguration sends the configuration to an agent that has an older
// one, and fetches it from an agent that has a newer one, for example while this
// entry can't read the log.
func (e *Entry) exchangeConfiguration(agentNext int64, address netip.AddrPort) {
	state, known := e.config.State()
	if known && agentNext == int64(state.Next) {
		return
	}
	config := &wire.Config{}
	if known && agentNext < int64(state.Next) {
		config.State = follower.EncodeState(state)
	}
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, e.settings.CallTimeout)
		defer cancel()
		frame := e.newFrame()
		frame.Body = &wire.Frame_Config{Config: config}
		reply, _, err := e.client.Call(ctx, address, frame)
		if err != nil || len(reply.GetConfig().GetState()) == 0 {
			return
		}
		e.eventLoop.Post(func() { e.adoptConfiguration(reply.GetConfig().State) })
	}()
}

func (e *Entry) adoptConfiguration(data []byte) {
	state, err := follower.DecodeState(data)
	if err != nil {
		e.logger.Warn("entry: decoding an agent's configuration failed; keeping the current one", logfield.Error(err))
		return
	}
	if e.config.Adopt(state) {
		e.applyConfiguration(time.Now())
	}
}
