package entry

// This file defines calls to the holder of a stream. Whoever holds it may
// change at any time, so a call that finds no holder is made again until its
// deadline.

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/recorder"
)

// holderRetry is the pause before a holder is looked for again.
const holderRetry = 100 * time.Millisecond

// holderTry bounds one call to a holder, so that one that vanished doesn't use
// a caller's whole deadline up.
const holderTry = 2 * time.Second

// holderCall calls the holder of a stream until it answers or ctx is done.
// Reason is empty on success; sent says whether any try may have had an effect.
func (e *Entry) holderCall(ctx context.Context, stream pv.StreamName, body func(*wire.Frame)) (reply *wire.Frame, sent bool, reason pv.Reason) {
	reason = pv.ReasonNoHolder
	for {
		if address, ok := e.holderAddress(stream); ok {
			f := e.frame()
			body(f)
			bounded, cancel := context.WithTimeout(ctx, holderTry)
			r, s, err := e.client.Call(bounded, address, f)
			cancel()
			sent = sent || s
			if refusal := r.GetRefusal(); err == nil && refusal == nil {
				return r, sent, pv.NoReason
			} else if refusal != nil {
				reason = pv.Reason(refusal.Reason)
				if reason != pv.ReasonNoHolder && reason != pv.ReasonLogDown {
					return nil, sent, reason
				}
			}
		}
		select {
		case <-time.After(holderRetry):
		case <-ctx.Done():
			return nil, sent, reason
		}
	}
}

func (e *Entry) holderAddress(stream pv.StreamName) (address netip.AddrPort, found bool) {
	e.control.Do(func() {
		h, ok := e.members.Holder(stream)
		if !ok {
			return
		}
		parsed, err := netip.ParseAddrPort(h.Address)
		address, found = parsed, err == nil
	})
	return address, found
}

// propose has a record appended to a stream and returns what the ledger says
// afterwards of what the record is about. The same record is proposed again
// until its fate is known; the ledger's state decides, so copies do no harm.
func propose[T any](ctx context.Context, e *Entry, stream pv.StreamName, r recorder.Record) (verdict recorder.Verdict, state T, sent bool, reason pv.Reason) {
	data, err := recorder.Encode(r)
	if err != nil {
		return "", state, false, pv.ReasonBadInput
	}
	for {
		reply, s, why := e.holderCall(ctx, stream, func(f *wire.Frame) {
			f.Body = &wire.Frame_Propose{Propose: &wire.Propose{Stream: string(stream), Record: data}}
		})
		sent = sent || s
		if why != pv.NoReason {
			return "", state, sent, why
		}
		p := reply.GetProposed()
		verdict = recorder.Verdict(p.GetVerdict())
		if verdict == recorder.Valid || verdict == recorder.VoidState {
			return verdict, decoded[T](p.State), sent, pv.NoReason
		}
		// Superseded, dropped or still open: ask the holder that there is now.
		select {
		case <-time.After(holderRetry):
		case <-ctx.Done():
			return verdict, state, sent, pv.ReasonLogDown
		}
	}
}

// view returns state of a stream, false if there is none.
func view[T any](ctx context.Context, e *Entry, stream pv.StreamName, kind, key string, limit int) (state T, found bool, reason pv.Reason) {
	reply, _, reason := e.holderCall(ctx, stream, func(f *wire.Frame) {
		f.Body = &wire.Frame_View{View: &wire.View{Stream: string(stream), Kind: kind, Key: key, Limit: int64(limit)}}
	})
	if reason != pv.NoReason {
		return state, false, reason
	}
	v := reply.GetViewed()
	if !v.GetFound() {
		return state, false, pv.NoReason
	}
	return decoded[T](v.State), true, pv.NoReason
}

func decoded[T any](data []byte) (value T) {
	if len(data) > 0 {
		_ = json.Unmarshal(data, &value) // of our own making; a newer one's extra fields are left out
	}
	return value
}
