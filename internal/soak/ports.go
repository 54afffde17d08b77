package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

// The ports of nodes are drawn from below those that the system gives to outgoing
// connections, which might take one while its node is away. They come in blocks, whose
// first port is held for as long as a world lasts, so that no other world on the machine
// takes one of the others.
const (
	firstPort = 16_000
	lastPort  = 32_000
	blockSize = 160
	blocks    = (lastPort - firstPort) / blockSize
)

// ports hands out free ports, each once, as those of a node that is away are free too. Its
// zero value is ready.
type ports struct {
	claims    []net.Listener
	next, end int
}

// freeAddress returns an address that was free a moment ago. It must stay the
// same over restarts, as callers know it.
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

// claim takes a block that no world holds.
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
	return eris.New("no block of ports is free")
}

func (p *ports) close() {
	for _, held := range p.claims {
		_ = held.Close() // nothing was sent there
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
