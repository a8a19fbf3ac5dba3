package main

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/load"
	"github.com/sapphirewall/sapphirewall/internal/local"
	standin "github.com/sapphirewall/sapphirewall/internal/standin/upstream"
)

// The names of the scenarios.
const (
	scenarioCalm      = "calm"
	scenarioZoneOut   = "zone-out"
	scenarioStraggler = "straggler"
)

// scenario brings something about while the queries run, and returns when it
// is over or ctx ends.
type scenario func(ctx context.Context, c *local.Cluster) error

var scenarios = map[string]scenario{
	scenarioCalm:      func(context.Context, *local.Cluster) error { return nil },
	scenarioZoneOut:   zoneOut,
	scenarioStraggler: stragglers,
}

func scenarioNames() string {
	var out []string
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// zoneOut takes a zone out by the tables, and brings it back.
func zoneOut(ctx context.Context, c *local.Cluster) error {
	text := string(c.Tables.Text)
	out := "[fleet]\nzones-out = " + zones[0] + "\n" + text
	for _, next := range []string{out, text} {
		if !pause(ctx, trialLength/3) {
			return nil
		}
		if err := c.Commit(ctx, []byte(next)); err != nil {
			return err
		}
	}
	return nil
}

// slowFactor multiplies the service times of a straggler.
const slowFactor = 10

// stragglers makes one replica in each of some shards slow.
func stragglers(_ context.Context, c *local.Cluster) error {
	for _, id := range []string{"reproofing-0-0", "ledger-4-1", "ledger-9-2"} {
		c.Fleet.UpdateFaults(standin.Selector{ID: id}, func(f *standin.Faults) { f.SlowFactor = slowFactor })
	}
	return nil
}

// pause waits for d and says whether ctx let it.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// The shares of requests that must be answered.
const (
	calmAnswered  = 1.0
	faultAnswered = 0.99
)

// scenarioHolds says whether enough requests were answered.
func scenarioHolds(name string, rep *load.Summary) bool {
	if name == scenarioCalm {
		return rep.Routes[0].Answered() >= calmAnswered
	}
	return rep.Routes[0].Answered() >= faultAnswered
}
