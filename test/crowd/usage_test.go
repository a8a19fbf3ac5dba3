package crowd

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against counting the queue of a connection that is being opened, which the kernel
// may report as gigabytes.
func TestQueuesOfOpenConnectionsOnly(t *testing.T) {
	g := NewWithT(t)
	sockets := parseSockets(`  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000007 00:00000000 00000000     0        0 11 1
   1: 0100007F:1F91 0100007F:1F90 01 00000010:00000020 00:00000000 00000000     0        0 12 1
   2: 0100007F:1F92 0100007F:1F90 02 39E00000:00000000 00:00000000 00000000     0        0 13 1
   3: 0100007F:1F93 0100007F:1F90 08 00000001:00000000 00:00000000 00000000     0        0 14 1
`)
	g.Expect(sockets).To(Equal([]socket{
		{port: "1F90", inode: "11", listening: true},
		{port: "1F91", inode: "12", queued: 48},
		{port: "1F92", inode: "13"},
		{port: "1F93", inode: "14", queued: 1},
	}))
}
