package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// The callers.
const (
	callerCount = 24
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 120 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 2 * time.Second
	// patience is how much longer it takes notice of what comes.
	patience = 500 * time.Millisecond
)

// path is what a request asks for.
type path string

const (
	scattered path = standin.ScatteredPath
	plain     path = standin.PlainPath
	once      path = standin.NonIdempotentPath
	// bound is scattered too, over the replicas of one region.
	bound path = standin.RegionalPath
)

// isScattered is true for what is answered from many shards.
func (p path) isScattered() bool { return p == scattered || p == bound }

// observation is one request as its caller saw it.
type observation struct {
	id          string
	path        path
	sent, ended time.Time
	response    standin.Response
	err         error
}

// callers send requests until stop.
type callers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startCallers(w *world, judge *judge) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	started := &callers{cancel: cancel}
	for number := range callerCount {
		started.running.Go(func() { call(ctx, w, judge, number) })
	}
	return started
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// freshEvery is one caller in so many that opens a connection for each request. The others
// use theirs for as long as it lasts, though the directory names other nodes by then.
const freshEvery = 4

// newClient makes a caller of a zone.
func newClient(w *world, number int) *standin.Client {
	fresh := number%freshEvery == 0
	transport := &http.Transport{DisableKeepAlives: fresh, MaxIdleConnsPerHost: 1}
	client := &standin.Client{
		Zone: zones[number%len(zones)], HTTP: &http.Client{Transport: transport}, Method: http.MethodPost, Sticky: !fresh,
	}
	client.Region = w.nodes[number%len(w.nodes)].settings.Region
	for i := range w.nodes {
		near := w.nodes[(number+i*len(zones))%len(w.nodes)]
		client.Directories = append(client.Directories, near.settings.Directory)
	}
	return client
}

func call(ctx context.Context, w *world, judge *judge, number int) {
	client := newClient(w, number)
	for serial := 0; ctx.Err() == nil; serial++ {
		judge.saw(request(client, fmt.Sprintf("c%d-%d", number, serial), choosePath()))
		time.Sleep(time.Duration(rand.Int64N(int64(2 * thinkTime))))
	}
}

func choosePath() path {
	switch rand.IntN(5) {
	case 0:
		return plain
	case 1:
		return once
	case 2:
		return bound
	default:
		return scattered
	}
}

func request(client *standin.Client, id string, asked path) observation {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait+patience)
	defer cancel()
	seen := observation{id: id, path: asked, sent: time.Now()}
	seen.response, seen.err = client.Send(ctx, id, string(asked)+"x", callerWait)
	seen.ended = time.Now()
	return seen
}
