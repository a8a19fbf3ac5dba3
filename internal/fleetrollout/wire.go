package fleetrollout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// toProto returns the wire form of a report on an order.
func toProto(o rollout.Order, r *rollout.Report) *swpb.RolloutReport {
	return &swpb.RolloutReport{
		Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Pool: o.Pool, Version: o.Version, DurationMs: uint64(o.Duration.Milliseconds()), OrderRevision: o.Revision,
		AgeMs: uint64(r.Age.Milliseconds()), Phase: uint32(r.Phase), Firsts: uint64(r.Firsts), Sent: uint64(r.Sent),
		OldInFlight: uint64(r.OldInFlight), MaxAttemptMs: uint64(r.MaxAttempt.Milliseconds()),
		Stats: toProtoStats(r.Stats), Pending: toProtoStats(r.Pending),
	}
}

func toOrder(r *swpb.RolloutReport) rollout.Order {
	return rollout.Order{Pool: r.GetPool(), Version: r.GetVersion(), Duration: millis(r.GetDurationMs()), Revision: r.GetOrderRevision()}
}

func toReport(r *swpb.RolloutReport) rollout.Report {
	return rollout.Report{
		Node: r.GetNode(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Age: millis(r.GetAgeMs()),
		Phase: rollout.Phase(r.GetPhase()), Firsts: int(r.GetFirsts()), Sent: int(r.GetSent()), OldInFlight: int(r.GetOldInFlight()),
		MaxAttempt: millis(r.GetMaxAttemptMs()), Stats: toStats(r.GetStats()), Pending: toStats(r.GetPending()),
	}
}

func toProtoStats(rows []rollout.RolloutStat) []*swpb.RolloutStat {
	out := make([]*swpb.RolloutStat, 0, len(rows))
	for i := range rows {
		s := &rows[i]
		w := &swpb.RolloutStat{
			Class: uint32(s.Class), Route: s.Route, Group: uint32(s.Group), Requests: s.Sums.Requests, Errors: s.Sums.Errors,
			Crashes: s.Sums.Crashes, LatencySumUs: uint64(s.Sums.LatencySum.Microseconds()),
		}
		for _, n := range s.Sums.LatencyBuckets {
			w.LatencyBuckets = append(w.LatencyBuckets, uint32(n))
		}
		out = append(out, w)
	}
	return out
}

func toStats(rows []*swpb.RolloutStat) []rollout.RolloutStat {
	out := make([]rollout.RolloutStat, 0, len(rows))
	for _, w := range rows {
		s := rollout.RolloutStat{Class: rollout.Class(w.GetClass()), Route: w.GetRoute(), Group: uint8(w.GetGroup() % rollout.Groups)}
		s.Sums = rollout.Sums{
			Requests: w.GetRequests(), Errors: w.GetErrors(), Crashes: w.GetCrashes(),
			LatencySum: time.Duration(w.GetLatencySumUs()) * time.Microsecond,
		}
		for i, n := range w.GetLatencyBuckets() {
			s.Sums.LatencyBuckets[min(i, rollout.Buckets-1)] += uint64(n)
		}
		out = append(out, s)
	}
	return out
}

func fromGuidance(g rollout.Guidance) *swpb.RolloutGuidance {
	return &swpb.RolloutGuidance{Known: true, Phase: uint32(g.Phase), AgeMs: uint64(g.Age.Milliseconds()), Reason: g.Reason}
}

func toGuidance(g *swpb.RolloutGuidance) rollout.Guidance {
	return rollout.Guidance{Phase: rollout.Phase(g.GetPhase()), Age: millis(g.GetAgeMs()), Reason: g.GetReason()}
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
