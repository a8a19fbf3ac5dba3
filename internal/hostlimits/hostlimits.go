package hostlimits

import (
	"io/fs"
	"math"
	"os"
	"path"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// Limits is what a process may use; 0: not known.
type Limits struct {
	Memory      int64 // bytes
	Descriptors int
}

// Resolve returns the limits from settings, and asks the machine for those that are 0. It
// logs them.
func Resolve(memory int64, descriptors int, log zerolog.Logger) Limits {
	asked := askOf(os.DirFS("/"), processLimits())
	l, source := Limits{Memory: memory, Descriptors: descriptors}, "settings"
	if l.Memory == 0 {
		l.Memory, source = asked.Memory, "machine"
	}
	if l.Descriptors == 0 {
		l.Descriptors = asked.Descriptors
	}
	log.Info().Int64("memory", l.Memory).Str("memory_from", source).Int("descriptors", l.Descriptors).Msg("limits of the process")
	return l
}

// askOf returns the least of the limits of a process and those that the files of the machine
// below root state.
func askOf(root fs.FS, process Limits) Limits {
	l := process
	l.Memory = least(l.Memory, machineMemory(root))
	groups, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return l
	}
	for line := range strings.Lines(string(groups)) {
		l.Memory = least(l.Memory, groupMemory(root, strings.TrimSpace(line)))
	}
	return l
}

// least returns the lower of two limits, of which 0 is none.
func least(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// machineMemory returns the memory of the machine, or 0.
func machineMemory(root fs.FS) int64 {
	text, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "MemTotal:" && f[2] == "kB" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// groupMemory returns the least memory limit of a control group and those around it, or 0.
// line is one of /proc/self/cgroup: an ID, the controllers, and the group's path.
func groupMemory(root fs.FS, line string) int64 {
	f := strings.SplitN(line, ":", 3)
	if len(f) != 3 {
		return 0
	}
	mount, file := "sys/fs/cgroup", "memory.max"
	switch {
	case f[1] == "": // version 2
	case f[1] == "memory":
		mount, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
	default:
		return 0
	}
	var limit int64
	for dir := path.Clean("/" + f[2]); ; dir = path.Dir(dir) {
		limit = least(limit, readBytes(root, path.Join(mount, dir, file)))
		if dir == "/" {
			return limit
		}
	}
}

// noLimit is the size from which on a version 1 group has no limit.
const noLimit = math.MaxInt64 / 2

// readBytes reads a number of bytes, or returns 0 if the file has none, as "max".
func readBytes(root fs.FS, name string) int64 {
	text, err := fs.ReadFile(root, name)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil || n >= noLimit {
		return 0
	}
	return n
}
