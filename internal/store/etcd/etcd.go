// Package etcd is the adapter to a key-value service that serves the JSON
// gateway of etcd v3 over HTTP.
package etcd

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// The paths of the gateway.
const (
	rangePath          = "/v3/kv/range"
	txnPath            = "/v3/kv/txn"
	leaseGrantPath     = "/v3/lease/grant"
	leaseKeepAlivePath = "/v3/lease/keepalive"
	watchPath          = "/v3/watch"
)

// defaultTimeout bounds one request where Options names no other.
const defaultTimeout = 2 * time.Second

// Options are the settings of a Store.
type Options struct {
	// Endpoint is the gateway's address, such as "http://10.0.0.1:2379".
	Endpoint string
	// Client sends the requests; nil means one with connections of its own.
	// It must have no Timeout, as a watch lasts. Redirects are not followed.
	Client *http.Client
	// Timeout bounds each request but a watch; 0 means 2 s.
	Timeout time.Duration
}

// Store is a store.Store over the gateway. It is safe for concurrent use.
type Store struct {
	endpoint string
	client   *http.Client
	timeout  time.Duration
}

var _ store.Store = (*Store)(nil)

// New returns a Store; it connects on first use.
func New(options Options) *Store {
	client := http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	if options.Client != nil {
		client = *options.Client
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	timeout := options.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Store{endpoint: options.Endpoint, client: &client, timeout: timeout}
}

// Get returns one key. Errors are store.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	var reply rangeResponse
	if err := s.read(ctx, rangePath, rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return store.KeyValue{}, false, 0, eris.Wrapf(err, "get %s", key)
	}
	if len(reply.Kvs) == 0 {
		return store.KeyValue{}, false, int64(reply.Header.Revision), nil
	}
	return fromGateway(reply.Kvs[0]), true, int64(reply.Header.Revision), nil
}

// List returns the keys with a prefix in ascending order. Errors are
// store.ErrUnavailable.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]store.KeyValue, int64, error) {
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: integer(limit)}
	var reply rangeResponse
	if err := s.read(ctx, rangePath, request, &reply); err != nil {
		return nil, 0, eris.Wrapf(err, "list %s", prefix)
	}
	return manyFromGateway(reply.Kvs), int64(reply.Header.Revision), nil
}

// Grant makes a lease. Errors are store.ErrNotApplied or store.ErrUnclear; a
// lease granted without our knowledge lapses by itself.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	seconds := integer((ttl + time.Second - 1) / time.Second)
	var reply leaseGrantResponse
	if err := s.unary(ctx, leaseGrantPath, leaseGrantRequest{TTL: seconds}, &reply); err != nil {
		return 0, eris.Wrap(err, "grant a lease")
	}
	if reply.Error != "" || reply.ID == 0 {
		return 0, refused(eris.Errorf("the gateway answered %q", reply.Error), "grant a lease")
	}
	return store.Lease(reply.ID), nil
}

// KeepAlive renews a lease once. A lapsed lease is store.ErrNotApplied.
func (s *Store) KeepAlive(ctx context.Context, lease store.Lease) error {
	var reply leaseKeepAliveResponse
	if err := s.unary(ctx, leaseKeepAlivePath, leaseKeepAliveRequest{ID: integer(lease)}, &reply); err != nil {
		return eris.Wrapf(err, "renew lease %d", lease)
	}
	if reply.Result.TTL <= 0 {
		return refused(eris.Errorf("lease %d has lapsed", lease), "renew a lease")
	}
	return nil
}

func fromGateway(source keyValue) store.KeyValue {
	return store.KeyValue{
		Key:            string(source.Key),
		Value:          source.Value,
		CreateRevision: int64(source.CreateRevision),
		ModRevision:    int64(source.ModRevision),
	}
}

func manyFromGateway(sources []keyValue) []store.KeyValue {
	values := make([]store.KeyValue, 0, len(sources))
	for _, source := range sources {
		values = append(values, fromGateway(source))
	}
	return values
}

// prefixEnd is the first key after all keys with a prefix, as the gateway's
// range_end wants it; "\x00" means to the end of all keys.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
