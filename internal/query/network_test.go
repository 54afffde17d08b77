package query_test

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// memoryNetwork connects by net.Pipe, which works on a virtual clock.
type memoryNetwork struct {
	mutex     sync.Mutex
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener)}
}

func (n *memoryNetwork) listen() (address string, listener net.Listener) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address = fmt.Sprintf("192.0.2.1:%d", len(n.listeners)+1)
	created := &memoryListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = created
	return address, created
}

func (n *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	clientConn, serverConn := net.Pipe()
	select {
	case listener.connections <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.IPAddr{} }
