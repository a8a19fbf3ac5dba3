package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrIncomplete is returned by AwaitComplete when answers are still incomplete
// at the end of its context.
var ErrIncomplete = errors.New("load: answers incomplete at the end of the wait")

// awaitPoll is the pause between two rounds of AwaitComplete.
const awaitPoll = 50 * time.Millisecond

// AwaitComplete sends a request for every query route to every target, in
// rounds, until all answers of a round are complete.
func AwaitComplete(ctx context.Context, routes []Route, targets []string) error {
	for {
		incomplete := firstIncomplete(ctx, routes, targets)
		if incomplete == "" {
			return nil
		}
		select {
		case <-time.After(awaitPoll):
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrIncomplete, incomplete)
		}
	}
}

// firstIncomplete describes the first incomplete answer of a round. It returns
// "" if all answers are complete.
func firstIncomplete(ctx context.Context, routes []Route, targets []string) string {
	for _, target := range targets {
		r := &Runner{Routes: routes, Deadline: time.Second}
		r.SetTargets([]string{target})
		for i, route := range routes {
			if route.Action {
				continue
			}
			for _, res := range r.Run(ctx, []Request{{Route: i, Payload: []byte("{}")}}) {
				if res.Status != 200 || res.Missing != "" {
					return fmt.Sprintf("%s at %s: status %d, %v, missing %q, %s", route.Name, target, res.Status, res.Err, res.Missing, res.Body)
				}
			}
		}
	}
	return ""
}
