package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// Parameters of the callers.
const (
	callerCount = 24
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 120 * time.Millisecond
	// callerWait is the deadline that a caller sends with its request.
	callerWait = 2 * time.Second
	// callerMargin is how long past callerWait a caller accepts a response.
	callerMargin = 500 * time.Millisecond
)

// path is the request path.
type path string

const (
	scattered     path = standin.ScatteredPath
	plain         path = standin.PlainPath
	nonIdempotent path = standin.NonIdempotentPath
	// regional is scattered over the replicas of one region.
	regional path = standin.RegionalPath
	// public needs no key. Only runs with tenants have it.
	public path = standin.PublicPath
	// upload and retried go to the service whose answers may be spoiled, with long bodies and
	// with requests that may run once.
	upload  path = standin.UploadPath
	retried path = standin.RetriedPath
)

// uploadBytes is the longest body of a request. The limit of the routes is 256 KiB.
const uploadBytes = 240_000

// service returns the service of a path that is not scattered.
func (p path) service() string {
	if p == upload || p == retried {
		return standin.FaultyService
	}
	return standin.PlainService
}

// faultyShare is the share of requests to the service whose answers may be spoiled.
const faultyShare = 0.15

// chooseBody returns the body of a request.
func chooseBody(chosen path) []byte {
	if chosen != upload {
		return nil
	}
	if rand.IntN(4) == 0 {
		return bytes.Repeat([]byte("u"), rand.IntN(uploadBytes))
	}
	return bytes.Repeat([]byte("u"), uploadBytes) // longer than what the kernel's buffers take
}

// isScattered reports whether the path is answered by many shards.
func (p path) isScattered() bool { return p == scattered || p == regional }

// observation is a request as seen by its caller.
type observation struct {
	id   string
	path path
	// key is the caller's API key, or "".
	key         string
	sent, ended time.Time
	response    standin.Response
	err         error
}

// callers send requests until stopped.
type callers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startCallers(c *cluster, checker *checker) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	started := &callers{cancel: cancel}
	for number := range callerCount {
		started.running.Go(func() { call(ctx, c, checker, number) })
	}
	return started
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// Every freshEvery-th caller opens a connection per request. The others keep
// theirs even if the directory names other nodes meanwhile.
const freshEvery = 4

// newClient returns the client of a caller, which prefers nodes of its zone.
func newClient(c *cluster, number int) *standin.Client {
	fresh := number%freshEvery == 0
	transport := &http.Transport{DisableKeepAlives: fresh, MaxIdleConnsPerHost: 1}
	client := &standin.Client{
		Zone: zones[number%len(zones)], HTTP: &http.Client{Transport: transport}, Method: http.MethodPost, Sticky: !fresh,
	}
	client.Region = c.nodes[number%len(c.nodes)].settings.Region
	for i := range c.nodes {
		near := c.nodes[(number+i*len(zones))%len(c.nodes)]
		client.Directories = append(client.Directories, near.settings.Directory)
	}
	return client
}

func call(ctx context.Context, c *cluster, checker *checker, number int) {
	sender := &caller{client: newClient(c, number), keys: c.keys, tenant: tenantsByCaller[number/len(zones)%len(tenantsByCaller)]}
	for serial := 0; ctx.Err() == nil; serial++ {
		checker.record(sender.send(fmt.Sprintf("c%d-%d", number, serial)))
		time.Sleep(time.Duration(rand.Int64N(int64(2 * thinkTime))))
	}
}

func choosePath() path {
	if rand.Float64() < faultyShare {
		return []path{upload, retried}[rand.IntN(2)]
	}
	switch rand.IntN(5) {
	case 0:
		return plain
	case 1:
		return nonIdempotent
	case 2:
		return regional
	default:
		return scattered
	}
}

func request(client *standin.Client, id string, asked path) observation {
	client.Body = chooseBody(asked)
	return requestTarget(client, id, asked, string(asked)+"x")
}

// requestTarget sends a request for a target that begins with a path.
func requestTarget(client *standin.Client, id string, asked path, target string) observation {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait+callerMargin)
	defer cancel()
	seen := observation{id: id, path: asked, key: client.Key, sent: time.Now()}
	seen.response, seen.err = client.Send(ctx, id, target, callerWait)
	seen.ended = time.Now()
	return seen
}
