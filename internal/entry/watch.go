package entry

import (
	"context"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// The timing of the long polls to egress processes.
const (
	viewPollWait   = 10 * time.Second
	viewPollSlack  = 2 * time.Second // after viewPollWait, before a poll is abandoned
	viewRetryDelay = 100 * time.Millisecond
	// sessionRetention is how long the sessions to a removed process are kept. It
	// is longer than any request, so that calls in flight can end.
	sessionRetention = tables.MaxDeadline + time.Minute
	// rebuildInterval limits how often the catalogue is rebuilt.
	rebuildInterval = 10 * time.Millisecond
)

// maintainCatalogue rebuilds the catalogue when the fleet state or the holdings
// change, and keeps one long poll running to every egress process.
func (s *Service) maintainCatalogue(ctx context.Context) {
	defer s.background.Done()
	changed, unsubscribe := s.source.Subscribe()
	defer unsubscribe()
	p := viewPolls{cancel: map[string]context.CancelFunc{}, retired: map[string]time.Time{}}
	for {
		s.rebuild()
		s.syncPolls(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.holdings.changed:
		}
		sleep(ctx, rebuildInterval)
	}
}

func (s *Service) rebuild() {
	old, state := s.current.Load(), s.source.Current()
	s.current.Store(newCatalogue(old, state, s.holdings.collect(old.state != state)))
}

// viewPolls holds the running long polls by address. A retired address is no
// longer polled; its sessions are kept until the calls in flight have ended.
type viewPolls struct {
	cancel  map[string]context.CancelFunc
	retired map[string]time.Time
}

// syncPolls starts and stops polls so that one runs to every egress process, and
// closes the sessions to processes that were removed sessionRetention ago.
func (s *Service) syncPolls(ctx context.Context, p viewPolls) {
	wanted := map[string]bool{}
	for _, addr := range s.current.Load().owners.addrs {
		wanted[addr] = true
	}
	for addr, cancel := range p.cancel {
		if !wanted[addr] {
			cancel()
			delete(p.cancel, addr)
			p.retired[addr] = time.Now()
		}
	}
	for addr := range wanted {
		if p.cancel[addr] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			p.cancel[addr] = cancel
			s.background.Add(1)
			go s.poll(pollCtx, addr)
		}
	}
	for _, addr := range s.current.Load().controls.addrs {
		wanted[addr] = true
	}
	retained := p.addRetired(wanted)
	s.peers.Retain(retained)
	s.viewPeers.Retain(retained)
}

// addRetired adds the addresses retired within sessionRetention to wanted and
// returns it.
func (p viewPolls) addRetired(wanted map[string]bool) map[string]bool {
	for addr, at := range p.retired {
		if wanted[addr] || time.Since(at) > sessionRetention {
			delete(p.retired, addr)
			continue
		}
		wanted[addr] = true
	}
	return wanted
}

// poll requests the view of one egress process repeatedly until ctx is done.
func (s *Service) poll(ctx context.Context, addr string) {
	defer s.background.Done()
	var have uint64
	for ctx.Err() == nil {
		reply, err := s.requestView(ctx, addr, have)
		if err != nil {
			have = 0
			s.unreachable.mark(time.Now(), addr)
			sleep(ctx, viewRetryDelay)
			continue
		}
		if reply.GetVersion() != have {
			have = reply.GetVersion()
			s.holdings.update(reply.GetReplicas())
			s.applyStates(reply.GetReplicas())
			s.poison.update(addr, reply.GetSuspects())
		}
		s.viewReceived.Store(addr, true)
	}
}

// applyStates records the replica states of a view.
func (s *Service) applyStates(views []*swpb.ReplicaView) {
	now := time.Now()
	replicas := s.current.Load().replicas
	for _, v := range views {
		if r := replicas[v.GetReplica()]; r != nil {
			r.setState(now, v.GetState())
		}
	}
}

func (s *Service) requestView(ctx context.Context, addr string, have uint64) (*swpb.ViewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, viewPollWait+viewPollSlack)
	defer cancel()
	req := &swpb.ViewRequest{Have: have, WaitUs: uint64(viewPollWait / time.Microsecond)}
	env, err := s.viewPeers.Get(addr).Call(ctx, &swpb.Envelope{Body: &swpb.Envelope_ViewRequest{ViewRequest: req}})
	if err != nil {
		return nil, err
	}
	if env.GetViewReply() == nil {
		return nil, errNotViewReply
	}
	return env.GetViewReply(), nil
}
