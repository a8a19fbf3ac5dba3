package storerelay

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/platform"
)

const (
	// loggedBytes is the size from which a reply with entries is logged.
	loggedBytes = 16 << 10
	// sourceStore stands for the store where a VM's address stands for the VM.
	sourceStore = "store"
)

// logLarge logs a large reply to a call that was made at begin. The time includes the
// wait for a change.
func (s *Service) logLarge(source, prefix string, c platform.Changes, begin time.Time) {
	size := valueBytes(c.Entries)
	if size >= loggedBytes {
		s.log.Info().Str("kind", "relay").Str("source", source).Str("prefix", prefix).Uint64("store_revision", c.Revision).
			Int("entries", len(c.Entries)).Int("bytes", size).Dur("took", time.Since(begin)).Msg("large state or change read")
	}
}
