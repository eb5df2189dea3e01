package claim

import "github.com/auburnbend/auburnbend/lib/model"

// Table is the name of the table that holds the claims.
const Table = "claims"

// Key identifies a non-repeatable request of a tenant.
type Key struct {
	Service        model.Service
	Tenant         model.Tenant
	IdempotencyKey string
}

// rowKey returns the row key. The idempotency key is hashed, so that its length
// and characters do not matter.
func (k Key) rowKey() string {
	return string(k.Service) + "/" + string(k.Tenant) + "/" + model.Sum([]byte(k.IdempotencyKey)).String()
}
