// Package platform combines the stand-ins of all platform services behind one HTTP
// handler.
package platform

import (
	"net/http"

	"github.com/auburnbend/auburnbend/standin/instances"
	"github.com/auburnbend/auburnbend/standin/object"
	"github.com/auburnbend/auburnbend/standin/origin"
	"github.com/auburnbend/auburnbend/standin/table"
)

// Paths of the stand-ins, relative to the base URL.
const (
	TablePath       = "/table"
	ObjectPath      = "/object"
	OriginPath      = "/origin"
	WeightStorePath = "/weight-store"
	InstancePath    = "/instance-list"
)

// Platform contains a stand-in for each platform service. It is safe for concurrent use.
type Platform struct {
	Table       *table.Service
	Objects     *object.Service
	Origin      *origin.Source
	WeightStore *origin.Source
	Instances   *instances.List
}

// New returns a platform without rows, objects and instances.
func New(cfg Config) *Platform {
	cfg.applyDefaults()
	return &Platform{
		Table:       table.New(),
		Objects:     object.New(),
		Origin:      origin.New(origin.Config{LinkBytesPerSecond: cfg.OriginLinkRate, Clock: cfg.Clock}),
		WeightStore: origin.New(origin.Config{BytesPerSecond: cfg.WeightStoreRate, Clock: cfg.Clock}),
		Instances:   instances.New(instances.Config{Lag: cfg.InstanceListLag, Clock: cfg.Clock}),
	}
}

// Handler returns the HTTP handler that serves each stand-in under its path.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, handler := range map[string]http.Handler{
		TablePath:       p.Table.Handler(),
		ObjectPath:      p.Objects.Handler(),
		OriginPath:      p.Origin.Handler(),
		WeightStorePath: p.WeightStore.Handler(),
		InstancePath:    p.Instances.Handler(),
	} {
		mux.Handle(path+"/", http.StripPrefix(path, handler))
	}
	return mux
}
