// Package etcd implements store.Store over the HTTP/JSON gateway of etcd v3.
package etcd

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/store"
)

// Gateway paths.
const (
	rangePath          = "/v3/kv/range"
	txnPath            = "/v3/kv/txn"
	leaseGrantPath     = "/v3/lease/grant"
	leaseKeepAlivePath = "/v3/lease/keepalive"
	watchPath          = "/v3/watch"
)

// defaultTimeout is the request timeout when Options.Timeout is not set.
const defaultTimeout = 2 * time.Second

// Options configures a Store.
type Options struct {
	// Endpoint is the base URL of the gateway, such as "http://10.0.0.1:2379".
	Endpoint string
	// Client sends the requests. If nil, a client with its own transport is
	// used. It must not have a Timeout, since watches are long-lived.
	// Redirects are not followed.
	Client *http.Client
	// Timeout bounds each request except watches. The default is 2 s.
	Timeout time.Duration
	// WithTimeout applies Timeout. The default is context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
}

// Store implements store.Store over the gateway. It is safe for concurrent use.
type Store struct {
	endpoint    string
	client      *http.Client
	timeout     time.Duration
	withTimeout elapsed.TimeoutFunc
}

var _ store.Store = (*Store)(nil)

// New returns a Store, which connects on first use.
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
	withTimeout := options.WithTimeout
	if withTimeout == nil {
		withTimeout = context.WithTimeout
	}
	return &Store{endpoint: options.Endpoint, client: &client, timeout: timeout, withTimeout: withTimeout}
}

// Get returns one key. All errors wrap store.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	var reply rangeResponse
	if err := s.unaryRead(ctx, rangePath, rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return store.KeyValue{}, false, 0, eris.Wrapf(err, "get %s", key)
	}
	if len(reply.Kvs) == 0 {
		return store.KeyValue{}, false, int64(reply.Header.Revision), nil
	}
	return keyValueFromGateway(reply.Kvs[0]), true, int64(reply.Header.Revision), nil
}

// List returns the keys with the given prefix in ascending order. All errors
// wrap store.ErrUnavailable.
func (s *Store) List(ctx context.Context, prefix string, limit int) ([]store.KeyValue, int64, error) {
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: int64String(limit)}
	var reply rangeResponse
	if err := s.unaryRead(ctx, rangePath, request, &reply); err != nil {
		return nil, 0, eris.Wrapf(err, "list %s", prefix)
	}
	return keyValuesFromGateway(reply.Kvs), int64(reply.Header.Revision), nil
}

// Grant creates a lease. Errors wrap store.ErrNotApplied or
// store.ErrOutcomeUnknown; a lease whose ID was lost expires by itself.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	seconds := int64String((ttl + time.Second - 1) / time.Second)
	var reply leaseGrantResponse
	if err := s.unary(ctx, leaseGrantPath, leaseGrantRequest{TTL: seconds}, &reply); err != nil {
		return 0, eris.Wrap(err, "grant lease")
	}
	if reply.Error != "" || reply.ID == 0 {
		return 0, notApplied(eris.Errorf("gateway error %q", reply.Error), "grant lease")
	}
	return store.Lease(reply.ID), nil
}

// KeepAlive renews a lease once. It returns store.ErrNotApplied if the lease
// has expired.
func (s *Store) KeepAlive(ctx context.Context, lease store.Lease) error {
	var reply leaseKeepAliveResponse
	if err := s.unary(ctx, leaseKeepAlivePath, leaseKeepAliveRequest{ID: int64String(lease)}, &reply); err != nil {
		return eris.Wrapf(err, "renew lease %d", lease)
	}
	if reply.Result.TTL <= 0 {
		return notApplied(eris.Errorf("lease %d has expired", lease), "renew lease")
	}
	return nil
}

func keyValueFromGateway(pair keyValue) store.KeyValue {
	return store.KeyValue{
		Key:            string(pair.Key),
		Value:          pair.Value,
		CreateRevision: int64(pair.CreateRevision),
		ModRevision:    int64(pair.ModRevision),
	}
}

func keyValuesFromGateway(pairs []keyValue) []store.KeyValue {
	values := make([]store.KeyValue, 0, len(pairs))
	for _, pair := range pairs {
		values = append(values, keyValueFromGateway(pair))
	}
	return values
}

// prefixEnd returns the range_end for a prefix: the first key after all keys
// that have it. "\x00" selects all keys from the prefix on.
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
