package hostlimits

import (
	"testing"
	"testing/fstest"

	. "github.com/onsi/gomega"
)

const (
	gigabyte = 1 << 30
	meminfo  = "MemTotal:        4194304 kB\nMemFree:          100000 kB\n"
)

func TestMachineLimits(t *testing.T) {
	for name, c := range map[string]struct {
		files   map[string]string
		process Limits
		memory  int64
	}{
		"nothing is known":               {},
		"machine":                        {files: map[string]string{"proc/meminfo": meminfo}, memory: 4 * gigabyte},
		"process below the machine":      {files: map[string]string{"proc/meminfo": meminfo}, process: Limits{Memory: gigabyte}, memory: gigabyte},
		"process above the machine":      {files: map[string]string{"proc/meminfo": meminfo}, process: Limits{Memory: 8 * gigabyte}, memory: 4 * gigabyte},
		"group":                          {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "1073741824\n"}, memory: gigabyte},
		"group around it":                {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/memory.max": "1073741824\n", "sys/fs/cgroup/a/b/memory.max": "max\n"}, memory: gigabyte},
		"group at the root of its space": {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "1073741824\n"}, memory: gigabyte},
		"group without a limit":          {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "max\n"}, memory: 4 * gigabyte},
		"group of version 1":             {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "5:cpu:/x\n4:memory:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "1073741824\n"}, memory: gigabyte},
		"group of version 1, no limit":   {files: map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "4:memory:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "9223372036854771712\n"}, memory: 4 * gigabyte},
		"files that say something else":  {files: map[string]string{"proc/meminfo": "MemTotal: many\n", "proc/self/cgroup": "0\n::\n", "sys/fs/cgroup/memory.max": "-"}},
	} {
		t.Run(name, func(t *testing.T) {
			root := fstest.MapFS{}
			for file, text := range c.files {
				root[file] = &fstest.MapFile{Data: []byte(text)}
			}
			NewWithT(t).Expect(askOf(root, c.process).Memory).To(Equal(c.memory))
		})
	}
}
