package deployment

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// AddressAllocator returns free loopback addresses. Each has its own IP in
// 127.0.0.0/8, different from the source IP of outgoing connections, so that a
// port that was free is not taken before the server listens on it.
type AddressAllocator struct {
	block byte
	next  int
}

// The part of 127.0.0.0/8 that an AddressAllocator uses: each process has one of
// the /16 blocks from 127.64.0.0 on.
const (
	firstBlock     = 64
	numBlocks      = 128
	hostsPerSubnet = 250
)

// NewAddressAllocator returns an allocator for the block of this process.
func NewAddressAllocator() *AddressAllocator {
	return &AddressAllocator{block: byte(firstBlock + os.Getpid()%numBlocks)}
}

// Next returns a free address, IP:port, on an IP that it has not returned before.
func (a *AddressAllocator) Next() (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", a.block, a.next/hostsPerSubnet, a.next%hostsPerSubnet+1)
	a.next++
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", eris.Wrapf(err, "find a free port on %s", ip)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
