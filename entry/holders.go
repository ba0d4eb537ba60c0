package entry

// This file defines calls to the holder of a stream. The holder may change at
// any time, so a call that finds no holder is retried until its deadline.

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/recorder"
)

// holderRetryDelay is the delay before the next attempt to call a holder.
const holderRetryDelay = 100 * time.Millisecond

// holderCallTimeout bounds one call of a holder, so that a crashed holder doesn't
// use up the caller's whole deadline.
const holderCallTimeout = 2 * time.Second

// callHolder calls the holder of a stream until it answers or ctx is done. It
// retries if there is no holder, if the call fails, and if the holder can't
// reach the log; any other refusal ends the call. On success reason is empty.
// sent reports whether any attempt may have had an effect.
func (e *Entry) callHolder(ctx context.Context, stream pv.StreamName, setBody func(*wire.Frame)) (reply *wire.Frame, sent bool, reason pv.Reason) {
	reason = pv.ReasonNoHolder
	for {
		if address, ok := e.holderAddress(stream); ok {
			frame := e.newFrame()
			setBody(frame)
			callCtx, cancel := context.WithTimeout(ctx, holderCallTimeout)
			received, attemptSent, err := e.client.Call(callCtx, address, frame)
			cancel()
			sent = sent || attemptSent
			if refusal := received.GetRefusal(); err == nil && refusal == nil {
				return received, sent, pv.NoReason
			} else if refusal != nil {
				reason = pv.Reason(refusal.Reason)
				if reason != pv.ReasonNoHolder && reason != pv.ReasonLogUnavailable {
					return nil, sent, reason
				}
			}
		}
		select {
		case <-time.After(holderRetryDelay):
		case <-ctx.Done():
			return nil, sent, reason
		}
	}
}

// holderAddress returns the address of a stream's holder in the membership
// table.
func (e *Entry) holderAddress(stream pv.StreamName) (address netip.AddrPort, found bool) {
	e.eventLoop.Do(func() {
		hold, ok := e.members.Holder(stream)
		if !ok {
			return
		}
		parsed, err := netip.ParseAddrPort(hold.Address)
		address, found = parsed, err == nil
	})
	return address, found
}

// propose asks the holder of a stream to append a record, and returns the
// record's verdict and the state of its subject (a request or a task) in the
// ledger afterwards. It proposes the same record until the verdict is Valid or
// VoidContradiction. Duplicates have no effect, because the ledger voids a record
// that contradicts its state. If ctx ends before that, reason is the one of callHolder,
// or ReasonLogUnavailable after a reply with another verdict.
func propose[T any](ctx context.Context, e *Entry, stream pv.StreamName, r recorder.Record) (verdict recorder.Verdict, state T, sent bool, reason pv.Reason) {
	data, err := recorder.Encode(r)
	if err != nil {
		return "", state, false, pv.ReasonBadInput
	}
	for {
		reply, callSent, callReason := e.callHolder(ctx, stream, func(f *wire.Frame) {
			f.Body = &wire.Frame_Propose{Propose: &wire.Propose{Stream: string(stream), Record: data}}
		})
		sent = sent || callSent
		if callReason != pv.NoReason {
			return "", state, sent, callReason
		}
		proposed := reply.GetProposed()
		verdict = recorder.Verdict(proposed.GetVerdict())
		if verdict == recorder.Valid || verdict == recorder.VoidContradiction {
			return verdict, decodeState[T](proposed.State), sent, pv.NoReason
		}
		// The record's term was superseded (recorder.VoidSuperseded), the record was
		// dropped before it was sent (holder.VoidNotSent), it has no verdict yet,
		// or it is void for another reason: propose it to the current holder.
		select {
		case <-time.After(holderRetryDelay):
		case <-ctx.Done():
			return verdict, state, sent, pv.ReasonLogUnavailable
		}
	}
}

// readState reads a part of a stream's state from its holder. kind is one of
// agent.ViewTask, ViewKey, ViewTasks and ViewPending, which also define key. limit
// is the maximum number of items for ViewTasks. found is false if the state has no
// such part.
func readState[T any](ctx context.Context, e *Entry, stream pv.StreamName, kind, key string, limit int) (state T, found bool, reason pv.Reason) {
	reply, _, reason := e.callHolder(ctx, stream, func(f *wire.Frame) {
		f.Body = &wire.Frame_View{View: &wire.View{Stream: string(stream), Kind: kind, Key: key, Limit: int64(limit)}}
	})
	if reason != pv.NoReason {
		return state, false, reason
	}
	viewed := reply.GetViewed()
	if !viewed.GetFound() {
		return state, false, pv.NoReason
	}
	return decodeState[T](viewed.State), true, pv.NoReason
}

// decodeState decodes JSON that a holder sent. It ignores errors; the value of
// malformed JSON is incomplete.
func decodeState[T any](data []byte) (value T) {
	if len(data) > 0 {
		_ = json.Unmarshal(data, &value) // holders encode the same types; extra fields of a newer version are ignored
	}
	return value
}
