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

// numJudges is the number of control processes that judge a rollout. There are
// two so that one still has samples when the other fails.
const numJudges = 2

// secondJudgeInterval is how many reports go to the first judge for each one that
// also goes to the second.
const secondJudgeInterval = 2

// maxParallelSends bounds the number of members to which an update is sent at
// the same time.
const maxParallelSends = 32

// judgeNodes returns the nodes that judge a rollout, the first of which records
// its outcome. Nodes with equal member lists compute the same result.
func judgeNodes(id rolloutID, members []fleetstate.Member) []string {
	return ownership.Rank(id.key(), "", fleetstate.Candidates(members, fleetstate.ControlAddrOf), numJudges)
}

func (id rolloutID) key() string {
	return "rollout/" + id.pool + "/" + id.version + "/" + strconv.FormatInt(id.start, 10)
}

// judgeRank returns the position of a node among the judges, or -1.
func judgeRank(id rolloutID, node string, members []fleetstate.Member) int {
	for i, n := range judgeNodes(id, members) {
		if n == node {
			return i
		}
	}
	return -1
}

// Report handles a statistics report. A report from this VM's egress process is
// queued for forwarding. The stages, vetoes and statistics of a report from
// another control process are applied here, and the reply holds the stages and
// vetoes of this node.
func (s *Service) Report(from peer.Identity, r *swpb.StatsReport) *swpb.StatsReply {
	if from.Role == peer.RoleEgress {
		s.mu.Lock()
		s.latest = r
		s.mu.Unlock()
		select {
		case s.reportReady <- struct{}{}:
		default:
		}
		return &swpb.StatsReply{}
	}
	s.applyUpdate(r.GetStages(), r.GetVetoes())
	s.reportToJudges(r)
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

// applyUpdate merges the stages and vetoes of another node into the rollouts
// that this node has too.
func (s *Service) applyUpdate(stages []*swpb.RolloutStage, vetoes []*swpb.Veto) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range stages {
		stage := fleetstate.StageFromProto(st)
		if r := s.rollouts[rolloutID{stage.Pool, stage.Version, stage.Start.Unix()}]; r != nil {
			r.mergeProgress(decide.Progress{Stage: min(stage.Stage, decide.LastStage), HoldUntil: stage.HoldUntil})
		}
	}
	var list []fleetstate.Veto
	for _, v := range vetoes {
		list = append(list, fleetstate.VetoFromProto(v))
	}
	s.applyVetoes(list)
}

// reportToJudges passes a report's rows to this node's judges of their pools.
func (s *Service) reportToJudges(r *swpb.StatsReport) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ro := range s.rollouts {
		if ro.judge != nil && r.GetIncarnation() != 0 {
			ro.judge.Report(now, r.GetNode(), r.GetIncarnation(), poolStats(r, id.pool))
		}
	}
}

// poolStats returns a report's rows of one pool.
func poolStats(r *swpb.StatsReport, pool string) []decide.Stat {
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

// forwardReports sends each report of this VM's egress process to the judges
// until ctx ends.
func (s *Service) forwardReports(ctx context.Context) {
	for {
		select {
		case <-s.reportReady:
		case <-ctx.Done():
			return
		}
		members := s.control.Members()
		s.mu.Lock()
		s.reports++
		reports := s.splitByJudge(s.latest, members, s.reports%secondJudgeInterval == 0)
		s.mu.Unlock()
		var wg sync.WaitGroup
		for node, report := range reports {
			if node == s.cfg.Node {
				s.reportToJudges(report)
				continue
			}
			wg.Go(func() { s.send(ctx, controlAddr(node, members), report) })
		}
		wg.Wait()
	}
}

// splitByJudge returns, by node, the report for each judge. It omits the rows of
// pools and versions that are in no rollout.
func (s *Service) splitByJudge(r *swpb.StatsReport, members []fleetstate.Member, includeSecond bool) map[string]*swpb.StatsReport {
	out := map[string]*swpb.StatsReport{}
	for id := range s.rollouts {
		for rank, node := range judgeNodes(id, members) {
			if rank > 0 && !includeSecond {
				continue
			}
			judgeReport := out[node]
			if judgeReport == nil {
				judgeReport = &swpb.StatsReport{Node: r.GetNode(), Incarnation: r.GetIncarnation(), Stages: stagesToProto(s.stages()), Vetoes: vetoesToProto(s.vetoes(s.revision()))}
				out[node] = judgeReport
			}
			for _, row := range r.GetStats() {
				if row.GetPool() == id.pool && (row.GetVersion() == id.version || row.GetVersion() == s.rollouts[id].plan.From) {
					judgeReport.Stats = append(judgeReport.Stats, row)
				}
			}
		}
	}
	return out
}

func controlAddr(node string, members []fleetstate.Member) string {
	for _, m := range members {
		if m.Node == node {
			return m.ControlAddr
		}
	}
	return ""
}

// closeUnlisted closes the sessions to control processes that are not members.
func (s *Service) closeUnlisted(members []fleetstate.Member) {
	keep := map[string]bool{}
	for _, m := range members {
		keep[m.ControlAddr] = true
	}
	s.peers.Retain(keep)
}

// send sends one report and applies the stages and vetoes of the reply.
func (s *Service) send(ctx context.Context, addr string, r *swpb.StatsReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	env, err := s.peers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_StatsReport{StatsReport: r}})
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("addr", addr).Msg("statistics report to a control process failed")
		return
	}
	s.applyUpdate(env.GetStatsReply().GetStages(), env.GetStatsReply().GetVetoes())
}

// notifyMembers sends stages and vetoes to all members at once, without waiting
// for the replies.
func (s *Service) notifyMembers(ctx context.Context, members []fleetstate.Member, stages []fleetstate.RolloutStage, vetoes []fleetstate.Veto) {
	update := &swpb.StatsReport{Node: s.cfg.Node, Stages: stagesToProto(stages), Vetoes: vetoesToProto(vetoes)}
	limit := make(chan struct{}, maxParallelSends)
	for _, m := range members {
		if m.Node == s.cfg.Node || m.ControlAddr == "" || m.State == fleetstate.Gone {
			continue
		}
		s.work.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			s.send(ctx, m.ControlAddr, update)
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
