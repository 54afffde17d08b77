package ingress

import (
	"context"
	"net/http"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
)

// identity determines the tenant that a request belongs to, and charges it.
type identity struct {
	handler *Handler
	// header is the caller's. The fields of the credential are removed once a table with tenants
	// is in force.
	header http.Header
	// route is pinned for the whole request.
	route *routing.Route
	// table is the one that tenant was last looked up in.
	table *routing.Table
	// tenant is nil if there is none.
	tenant *routing.Tenant
	// credentialRead is true once key is set; key is empty if the caller sent none.
	credentialRead bool
	key            string
	// charged is the name of the tenant whose limit the request counts against, and refundCharge
	// takes it off; nil if it counts against none.
	charged      string
	refundCharge func()
}

// authenticate looks up the caller's tenant in a table. It removes the credential from the header
// if the configuration has tenants.
func (i *identity) authenticate(table *routing.Table) error {
	i.table, i.tenant = table, nil
	if !table.HasTenants() {
		return nil
	}
	if !i.credentialRead {
		i.key, i.credentialRead = i.handler.options.Codec.ReadCredential(i.header), true
	}
	i.tenant = table.Authenticate(i.key)
	if i.tenant != nil || i.route.Public {
		return nil
	}
	if i.key == "" {
		i.handler.refused.WithLabelValues(reasonNoKey).Inc()
		return failure.New(failure.Unauthenticated, "the request has no API key")
	}
	i.handler.refused.WithLabelValues(reasonUnknownKey).Inc()
	return failure.New(failure.Unauthenticated, "no tenant holds the request's API key")
}

// confirm authenticates again if the routing table has changed since. If the key has moved to
// another tenant, the request counts against that one's limit.
func (i *identity) confirm(ctx context.Context) error {
	table := i.handler.options.Board.Routes.Load()
	if table == i.table {
		return nil
	}
	if err := i.authenticate(table); err != nil {
		return err
	}
	if i.refundCharge == nil || i.charged == i.name() {
		return nil
	}
	i.refund()
	return i.charge(ctx)
}

// charge counts the request against its tenant's limit, or returns an error if it is over the
// limit.
func (i *identity) charge(ctx context.Context) error {
	if i.handler.options.Quota == nil || i.tenant == nil || i.tenant.Limit.Unlimited() {
		return nil
	}
	refund, err := i.handler.options.Quota.Admit(ctx, i.tenant)
	if err != nil {
		return err
	}
	i.charged, i.refundCharge = i.tenant.Name, refund
	return nil
}

// refund takes the request off its tenant's count, if it is on one.
func (i *identity) refund() {
	if i.refundCharge != nil {
		i.refundCharge()
		i.refundCharge = nil
	}
}

// setTenant sets the tenant of a request that is to be forwarded.
func (i *identity) setTenant(request *query.ForwardRequest) {
	request.Tenant, request.Message.Tenant = i.tenant, i.name()
}

// name returns the name of the tenant, or "" if there is none.
func (i *identity) name() string {
	if i.tenant == nil {
		return ""
	}
	return i.tenant.Name
}
