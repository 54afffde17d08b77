package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// Node ports lie below the ephemeral range, so that outgoing connections do not
// take the port of a stopped node. They are claimed in blocks by listening on
// each block's first port, which keeps other clusters on the machine off them.
const (
	firstPort = 16_000
	lastPort  = 32_000
	blockSize = 160
	blocks    = (lastPort - firstPort) / blockSize
)

// ports allocates ports, each at most once. The zero value is ready to use.
type ports struct {
	claims    []net.Listener
	next, end int
}

// freeAddress returns an unused address, which stays the same over restarts.
func (p *ports) freeAddress() (string, error) {
	for {
		if p.next == p.end {
			if err := p.claim(); err != nil {
				return "", err
			}
		}
		address := loopback(p.next)
		p.next++
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
}

// claim reserves a block that no other cluster holds.
func (p *ports) claim() error {
	first := rand.IntN(blocks)
	for i := range blocks {
		start := firstPort + (first+i)%blocks*blockSize
		held, err := net.Listen("tcp", loopback(start))
		if err != nil {
			continue
		}
		p.claims = append(p.claims, held)
		p.next, p.end = start+1, start+blockSize
		return nil
	}
	return eris.New("no free port block")
}

func (p *ports) close() {
	for _, held := range p.claims {
		_ = held.Close() // closing fails only if already closed
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
