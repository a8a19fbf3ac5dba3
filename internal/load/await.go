package load

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrIncomplete is returned when answers don't become whole in time.
var ErrIncomplete = errors.New("load: answers are not whole in time")

// awaitPoll is the pause between two rounds of AwaitComplete.
const awaitPoll = 50 * time.Millisecond

// AwaitComplete asks every query route at every target until all answers of one
// round are whole.
func AwaitComplete(ctx context.Context, routes []Route, targets []string) error {
	for {
		lacking := firstLacking(ctx, routes, targets)
		if lacking == "" {
			return nil
		}
		select {
		case <-time.After(awaitPoll):
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrIncomplete, lacking)
		}
	}
}

// firstLacking returns what the first answer that is not whole is, or "".
func firstLacking(ctx context.Context, routes []Route, targets []string) string {
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
