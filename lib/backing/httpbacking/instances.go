package httpbacking

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/jsonparts"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Instances is the client of the instance list. It is safe for concurrent use.
type Instances struct {
	http httpClient
	// OnInvalid receives the ID, or an empty text, of an item that does not describe an
	// instance, once for each change of the item. Nil is not called. It must be set
	// before the first call of List.
	OnInvalid func(id string, err error)

	// mu guards reported, the hashes of the invalid items of the last list.
	mu       sync.Mutex
	reported map[uint64]bool
}

// errDuplicateID reports an item with the ID of an earlier one.
var errDuplicateID = errors.New("another item has this ID")

// errInvalidItem reports an item that cannot be decoded. The cause is left out, as it
// may contain long values.
var errInvalidItem = errors.New("item has fields of another type or is no JSON object")

// NewInstances returns a client of the instance list.
func NewInstances(cfg Config) *Instances { return &Instances{http: newClosingClient(cfg)} }

// List implements backing.InstanceList. Items are decoded one by one: an item that does
// not describe an instance is left out.
func (i *Instances) List(ctx context.Context) ([]backing.Instance, error) {
	r, err := i.http.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	if bytes.Equal(bytes.TrimSpace(r.body), []byte("null")) {
		return nil, nil
	}
	items, err := jsonparts.Array(r.body)
	if err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	listed := make([]backing.Instance, 0, len(items))
	known := make(map[model.InstanceID]bool, len(items))
	invalid := make(map[uint64]bool)
	for _, item := range items {
		instance, err := decodeInstance(item)
		if err == nil && known[instance.ID] {
			err = errDuplicateID
		}
		if err != nil {
			invalid[xxhash.Sum64(item)] = true
			i.report(item, instance.ID, err)
			continue
		}
		known[instance.ID] = true
		listed = append(listed, instance)
	}
	i.mu.Lock()
	i.reported = invalid
	i.mu.Unlock()
	return listed, nil
}

// decodeInstance decodes one item. If it is invalid, the ID may be set nevertheless.
func decodeInstance(item []byte) (backing.Instance, error) {
	var instance backing.Instance
	if !utf8.Valid(item) || len(item) == 0 || item[0] != '{' || json.Unmarshal(item, &instance) != nil {
		return instance, errInvalidItem
	}
	return instance, instance.Validate()
}

// report calls OnInvalid unless the last list contained the same item.
func (i *Instances) report(item []byte, id model.InstanceID, err error) {
	i.mu.Lock()
	known := i.reported[xxhash.Sum64(item)]
	i.mu.Unlock()
	if i.OnInvalid != nil && !known {
		i.OnInvalid(string(id[:min(len(id), backing.MaxNameBytes)]), err)
	}
}
