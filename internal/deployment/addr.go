package deployment

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// AddressAllocator hands out free loopback addresses. Each has an IP of its own within
// 127.0.0.0/8, apart from the one that outgoing connections use, so that a port
// found free stays free until it is listened on.
type AddressAllocator struct {
	block byte
	next  int
}

// The part of 127.0.0.0/8 that Addresses uses: 127.64.0.0 and up, one block a
// process.
const (
	firstBlock     = 64
	numBlocks      = 128
	hostsPerSubnet = 250
)

// NewAddressAllocator returns a source of addresses.
func NewAddressAllocator() *AddressAllocator {
	return &AddressAllocator{block: byte(firstBlock + os.Getpid()%numBlocks)}
}

// Next returns a free IP:port.
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
