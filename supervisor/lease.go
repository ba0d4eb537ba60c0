package supervisor

// This file defines which lease and which fencing token a call to the worker carries.
//
// The end of a lease is a reading of the clock of one incarnation, and calls name the worker's
// id only: another incarnation under the same id would take such an end for a reading of its
// own clock. So a call carries the end only while the worker answers as that incarnation.
//
// Calls in flight when the worker restarts may still carry an end, and starts, to the next
// incarnation, which has received no token yet. So a new incarnation is polled at once, under a
// token above that of its predecessors: it refuses their calls from then on, and lists the runs
// that it has started for them until then, which are stopped. This needs no leader, which may
// be unreachable and count on the end of the former lease. The leader allows for the lease that
// such a call may have left (messenger.Report.FencedSince).

import pv "persimmonvalve"

// successionBits is the number of low bits of a call's fencing token that count the
// incarnations under one token of the leader. The bits above them hold that token.
const successionBits = 8

// incarnationLease is the lease that the leader's orders name, for one incarnation.
type incarnationLease struct {
	pv.WorkerLease
	incarnation int64
	successors  int64 // incarnations that have begun since the leader's token was first received
}

// succeed returns what is left of the lease when another incarnation begins: the token.
func (l incarnationLease) succeed() incarnationLease {
	l.End = 0
	l.successors = min(l.successors+1, 1<<successionBits-1)
	return l
}

// renew returns the lease by orders for an incarnation. Orders under the same leader's token
// neither shorten the lease nor lower the fencing token of calls, which the worker would refuse.
func (l incarnationLease) renew(incarnation int64, ordered pv.WorkerLease) incarnationLease {
	out := incarnationLease{WorkerLease: ordered, incarnation: incarnation}
	if ordered.FencingToken != l.FencingToken {
		return out
	}
	out.successors = l.successors
	if incarnation == l.incarnation {
		out.End = max(out.End, l.End)
	}
	return out
}

// isFor reports whether the leader has issued the lease for the given incarnation.
func (l incarnationLease) isFor(incarnation int64) bool {
	return l.FencingToken != 0 && l.incarnation == incarnation
}

// answeringIncarnation returns the incarnation as which the worker has answered polls. It
// returns false before the first answer, and while a broken connection or a heartbeat of
// another incarnation shows that the worker may have restarted since. A poll without an answer
// doesn't: a worker that answers few of them would lose its lease.
func (v *Supervisor) answeringIncarnation() (int64, bool) {
	mayHaveRestarted := v.pollFailing && !v.brokenAt.IsZero() || v.heldHeartbeat != nil
	return v.state.Incarnation, v.polledIdentity() && !mayHaveRestarted
}

// leaseToSend returns the lease for a call that is made now.
func (v *Supervisor) leaseToSend() pv.WorkerLease {
	out := pv.WorkerLease{FencingToken: v.lease.FencingToken<<successionBits | v.lease.successors}
	if incarnation, ok := v.answeringIncarnation(); ok && v.lease.isFor(incarnation) {
		out.End = v.lease.End
	}
	return out
}

// leaderToken returns the leader's part of the token of a call.
func leaderToken(l pv.WorkerLease) int64 { return l.FencingToken >> successionBits }
