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

// Names of the scenarios.
const (
	scenarioCalm      = "calm"
	scenarioZoneOut   = "zone-out"
	scenarioStraggler = "straggler"
)

// scenario changes the cluster while requests are sent. It returns when it has
// made all its changes or ctx ends.
type scenario func(ctx context.Context, c *local.Cluster) error

var scenarios = map[string]scenario{
	scenarioCalm:      func(context.Context, *local.Cluster) error { return nil },
	scenarioZoneOut:   takeZoneOut,
	scenarioStraggler: slowReplicas,
}

func scenarioNames() string {
	var out []string
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// takeZoneOut takes a zone out of service in the tables after a third of the
// trial, and puts it back in service after two thirds.
func takeZoneOut(ctx context.Context, c *local.Cluster) error {
	text := string(c.Tables.Text)
	out := "[fleet]\nzones-out = " + zones[0] + "\n" + text
	for _, next := range []string{out, text} {
		if !sleep(ctx, trialLength/3) {
			return nil
		}
		if err := c.Commit(ctx, []byte(next)); err != nil {
			return err
		}
	}
	return nil
}

// slowFactor multiplies the service times of a slow replica.
const slowFactor = 10

// slowReplicas slows down one replica in each of three shards.
func slowReplicas(_ context.Context, c *local.Cluster) error {
	for _, id := range []string{"reproofing-0-0", "ledger-4-1", "ledger-9-2"} {
		c.Fleet.UpdateFaults(standin.Selector{ID: id}, func(f *standin.Faults) { f.SlowFactor = slowFactor })
	}
	return nil
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Minimum shares of the requests to the query route that must be answered.
const (
	minCalmAnswered  = 1.0
	minFaultAnswered = 0.99
)

// enoughAnswered reports whether enough requests to the query route were answered.
func enoughAnswered(name string, rep *load.Summary) bool {
	if name == scenarioCalm {
		return rep.Routes[0].Answered() >= minCalmAnswered
	}
	return rep.Routes[0].Answered() >= minFaultAnswered
}
