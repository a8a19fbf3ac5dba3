package rollout

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	decide "github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// judges is the number of control processes that judge a rollout, so that one
// has samples when the other is lost.
const judges = 2

// secondJudgeEvery is how many reports pass between two for the second judge.
const secondJudgeEvery = 2

// maxTold bounds the nodes that are told news at once.
const maxTold = 32

// judgesOf returns the nodes that judge a rollout, the first of which records
// its outcome. Every node computes the same from the same members.
func judgesOf(k id, members []fleetstate.Member) []string {
	return ownership.Rank(k.key(), "", fleetstate.Candidates(members, fleetstate.ControlAddrOf), judges)
}

func (k id) key() string {
	return "rollout/" + k.pool + "/" + k.version + "/" + strconv.FormatInt(k.start, 10)
}

// judgeRank is the place of a node among the judges, or -1.
func judgeRank(k id, node string, members []fleetstate.Member) int {
	for i, n := range judgesOf(k, members) {
		if n == node {
			return i
		}
	}
	return -1
}

// Report takes the sums of this VM's egress, or those that another control
// passes on, and answers with what this node knows.
func (s *Service) Report(from peer.Identity, r *swpb.StatsReport) *swpb.StatsReply {
	if from.Role == peer.RoleEgress {
		s.mu.Lock()
		s.latest = r
		s.mu.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
		return &swpb.StatsReply{}
	}
	s.learn(r.GetStages(), r.GetVetoes())
	s.judgeReport(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &swpb.StatsReply{Stages: stagesToProto(s.stages()), Vetoes: vetoesToProto(s.vetoes(s.revision()))}
}

func (s *Service) revision() uint64 {
	if t := s.control.Current().Tables; t != nil {
		return t.Revision
	}
	return 0
}

// learn takes what another node knows of rollouts that this node has too.
func (s *Service) learn(stages []*swpb.RolloutStage, vetoes []*swpb.Veto) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range stages {
		own := fleetstate.StageFromProto(st)
		if r := s.rollouts[id{own.Pool, own.Version, own.Start.Unix()}]; r != nil {
			r.learn(decide.Progress{Stage: min(own.Stage, decide.LastStage), HoldUntil: own.HoldUntil})
		}
	}
	var list []fleetstate.Veto
	for _, v := range vetoes {
		list = append(list, fleetstate.VetoFromProto(v))
	}
	s.learnVetoes(list)
}

// judgeReport passes a report's rows to the judges of their pools.
func (s *Service) judgeReport(r *swpb.StatsReport) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, ro := range s.rollouts {
		if ro.judge != nil && r.GetIncarnation() != 0 {
			ro.judge.Report(now, r.GetNode(), r.GetIncarnation(), statsOf(r, k.pool))
		}
	}
}

// statsOf returns the rows of a pool.
func statsOf(r *swpb.StatsReport, pool string) []decide.Stat {
	var out []decide.Stat
	for _, row := range r.GetStats() {
		if row.GetPool() != pool {
			continue
		}
		sums := decide.Sums{
			Requests: row.GetRequests(), Errors: row.GetErrors(), Crashes: row.GetCrashes(),
			LatencySum: time.Duration(row.GetLatencySumUs()) * time.Microsecond,
		}
		for i, n := range row.GetLatencyBuckets() {
			sums.LatencyBuckets[min(i, decide.Buckets-1)] += n
		}
		out = append(out, decide.Stat{Version: row.GetVersion(), Route: row.GetRoute(), Sums: sums})
	}
	return out
}

// passOn sends each report of this VM's egress to the judges.
func (s *Service) passOn(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		members := s.control.Members()
		s.mu.Lock()
		s.reports++
		shares := s.sharesOf(s.latest, members, s.reports%secondJudgeEvery == 0)
		s.mu.Unlock()
		var wg sync.WaitGroup
		for node, report := range shares {
			if node == s.cfg.Node {
				s.judgeReport(report)
				continue
			}
			wg.Go(func() { s.send(ctx, addrOf(node, members), report) })
		}
		wg.Wait()
	}
}

// sharesOf splits a report by judge and leaves out pools without a rollout.
func (s *Service) sharesOf(r *swpb.StatsReport, members []fleetstate.Member, withSecond bool) map[string]*swpb.StatsReport {
	out := map[string]*swpb.StatsReport{}
	for k := range s.rollouts {
		for rank, node := range judgesOf(k, members) {
			if rank > 0 && !withSecond {
				continue
			}
			share := out[node]
			if share == nil {
				share = &swpb.StatsReport{Node: r.GetNode(), Incarnation: r.GetIncarnation(), Stages: stagesToProto(s.stages()), Vetoes: vetoesToProto(s.vetoes(s.revision()))}
				out[node] = share
			}
			for _, row := range r.GetStats() {
				if row.GetPool() == k.pool && (row.GetVersion() == k.version || row.GetVersion() == s.rollouts[k].plan.From) {
					share.Stats = append(share.Stats, row)
				}
			}
		}
	}
	return out
}

func addrOf(node string, members []fleetstate.Member) string {
	for _, m := range members {
		if m.Node == node {
			return m.ControlAddr
		}
	}
	return ""
}

// closeUnlisted closes the sessions to control processes that no member has.
func (s *Service) closeUnlisted(members []fleetstate.Member) {
	keep := map[string]bool{}
	for _, m := range members {
		keep[m.ControlAddr] = true
	}
	s.peers.Retain(keep)
}

// send makes one call and takes what the reply brings.
func (s *Service) send(ctx context.Context, addr string, r *swpb.StatsReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	env, err := s.peers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_StatsReport{StatsReport: r}})
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("addr", addr).Msg("report to a judge failed")
		return
	}
	s.learn(env.GetStatsReply().GetStages(), env.GetStatsReply().GetVetoes())
}

// tell sends news to all members at once, without waiting for them.
func (s *Service) tell(ctx context.Context, members []fleetstate.Member, stages []fleetstate.RolloutStage, vetoes []fleetstate.Veto) {
	news := &swpb.StatsReport{Node: s.cfg.Node, Stages: stagesToProto(stages), Vetoes: vetoesToProto(vetoes)}
	limit := make(chan struct{}, maxTold)
	for _, m := range members {
		if m.Node == s.cfg.Node || m.ControlAddr == "" || m.State == fleetstate.Gone {
			continue
		}
		s.work.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			s.send(ctx, m.ControlAddr, news)
		})
	}
}

func stagesToProto(list []fleetstate.RolloutStage) []*swpb.RolloutStage {
	var out []*swpb.RolloutStage
	for _, st := range list {
		out = append(out, fleetstate.StageToProto(st))
	}
	return out
}

func vetoesToProto(list []fleetstate.Veto) []*swpb.Veto {
	var out []*swpb.Veto
	for _, v := range list {
		out = append(out, fleetstate.VetoToProto(v))
	}
	return out
}
