package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/platform/standin"
)

// The tenant of the demo, and the requests of its callers.
const (
	tenantName, tenantKey = "acme", "demo-key-of-acme"
	tenantRate            = 5
	tenantBurst           = 5
	tenantRequests        = 100
	tenantInterval        = 8 * time.Millisecond
)

// tenantResult is what the callers of a tenant observed.
type tenantResult struct {
	mutex             sync.Mutex
	answered, refused int
	shortest, longest time.Duration // of the times after which to retry
	err               error
}

func (r *tenantResult) add(id string, response standin.Response, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err != nil:
		r.err = eris.Wrapf(err, "request %s", id)
	case response.Status == http.StatusOK:
		r.answered++
	case response.Status == http.StatusTooManyRequests && response.RetryAfter() > 0:
		r.refused++
		r.longest = max(r.longest, response.RetryAfter())
		if r.shortest == 0 || response.RetryAfter() < r.shortest {
			r.shortest = response.RetryAfter()
		}
	default:
		r.err = eris.Errorf("request %s: status %d, to retry after %v", id, response.Status, response.RetryAfter())
	}
}

// playTenants lists a tenant with a limit, and sends requests without its key and above its limit.
func (d *platformDemo) playTenants(ctx context.Context) error {
	added := standin.Tenant{Name: tenantName, Keys: []string{tenantKey}, Rate: tenantRate, Burst: tenantBurst}
	if err := d.deployment.AddTenant(added); err != nil {
		return err
	}
	var clients []*standin.Client
	for _, node := range d.nodes[1:] {
		client := d.deployment.NewClient(platformZones[0], &http.Client{Timeout: platformWait})
		client.Pin(node.Addresses().Callers)
		clients = append(clients, client)
		if err := d.awaitRefusal(ctx, client); err != nil {
			return err
		}
		client.Key = tenantKey
	}
	d.print("a caller without a key: 401 from each node\n")
	result, took := d.sendAboveLimit(ctx, clients)
	if result.err != nil {
		return result.err
	}
	// in less than a window, no more than the bound of a window
	var bounds edge.BoundsSettings
	standin.LimitTenants(&bounds)
	most := bounds.Quota().Max(routing.RateLimit{PerSecond: tenantRate, Burst: tenantBurst})
	least := int(tenantRate * took.Seconds() / 2)
	if result.answered < least || float64(result.answered) > most || result.refused == 0 {
		return eris.Errorf("tenant %s: %d answered and %d refused in %v, want %d to %.0f answered", tenantName, result.answered, result.refused, took, least, most)
	}
	d.print("a tenant above its limit of %d/s, burst %d: %d sent in %v through %d nodes, %d answered, %d got 429 with Retry-After from %v to %v\n",
		tenantRate, tenantBurst, tenantRequests, took.Round(100*time.Millisecond), len(clients), result.answered, result.refused,
		result.shortest.Round(time.Millisecond), result.longest.Round(time.Millisecond))
	return nil
}

// awaitRefusal waits until a node refuses a caller without a key, because the configuration with
// the tenant is in force.
func (d *platformDemo) awaitRefusal(ctx context.Context, client *standin.Client) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Send(ctx, "demo-without-key", standin.ScatteredPath, platformWait)
		if err != nil {
			return eris.Wrap(err, "a request without a key")
		}
		if response.Status == http.StatusUnauthorized && response.Challenged() {
			return nil
		}
	}
	return eris.New("callers without a key are not refused in time")
}

// sendAboveLimit sends requests of the tenant at equal intervals, through each node in turn.
func (d *platformDemo) sendAboveLimit(ctx context.Context, clients []*standin.Client) (*tenantResult, time.Duration) {
	result := &tenantResult{}
	ticker := time.NewTicker(tenantInterval)
	defer ticker.Stop()
	started := time.Now()
	var sending sync.WaitGroup
	for i, client := range slices.Repeat(clients, tenantRequests/len(clients)) {
		sending.Go(func() {
			id := fmt.Sprint("demo-", tenantName, "-", i)
			response, err := client.Send(ctx, id, standin.ScatteredPath, platformWait)
			result.add(id, response, err)
		})
		<-ticker.C
	}
	sending.Wait()
	return result, time.Since(started)
}
