// Package zonehold keeps availability zones out of service that the store has
// forgotten. After the store has come back from an older copy, the order that took a
// zone out may be missing until the operator writes it again.
package zonehold

import (
	"maps"
	"time"
)

// Period is how long a zone stays out of service without the order, from the first
// state of the new era. Within it an order of the operator has to be in force, so
// one that is still missing was taken back.
const Period = 5 * time.Second

// Holder holds the zones that are out of service. It is not safe for concurrent use.
type Holder struct {
	ordered map[string]bool
	held    map[string]time.Time // zones whose order is missing, with the end of the hold
	era     uint64
}

// New returns a holder without zones.
func New() *Holder { return &Holder{ordered: map[string]bool{}, held: map[string]time.Time{}} }

// Set records the zones that the operator has ordered out of service, as read in an
// era of the store. It returns the zones that are held from now on.
func (h *Holder) Set(now time.Time, ordered map[string]bool, era uint64) []string {
	var held []string
	if era > h.era {
		for zone := range h.Out(now) {
			if !ordered[zone] {
				h.held[zone] = now.Add(Period)
				held = append(held, zone)
			}
		}
	}
	h.era = max(h.era, era)
	h.ordered = maps.Clone(ordered)
	for zone := range ordered {
		delete(h.held, zone)
	}
	return held
}

// Out returns the zones that are out of service.
func (h *Holder) Out(now time.Time) map[string]bool {
	out := maps.Clone(h.ordered)
	for zone, end := range h.held {
		if now.Before(end) {
			out[zone] = true
		}
	}
	return out
}

// Next returns when Out changes without a further event; zero: never.
func (h *Holder) Next(now time.Time) time.Time {
	var next time.Time
	for zone, end := range h.held {
		switch {
		case !now.Before(end):
			delete(h.held, zone)
		case next.IsZero() || end.Before(next):
			next = end
		}
	}
	return next
}
