package engine

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// exportedStream is the content of KVCache.Data.
type exportedStream struct {
	Request api.Request `json:"request"`
	Frames  [][]byte    `json:"frames"`
}

// acceptOrder accepts an order, or returns the reason why it is rejected. The caller
// must hold s.mu.
func (s *Server) acceptOrder(o api.Order) string {
	if !s.cfg.IgnoreFencing {
		if !s.accepted.Before(o.Fence) {
			return api.RefusalFenced
		}
		if s.runningOrders > 0 {
			return api.RefusalBusy
		}
	}
	if !s.cfg.IgnoreWeights && (o.Kind == api.OrderExportKV || o.Kind == api.OrderImportKV) {
		if o.Weights != s.weights || o.KV != nil && o.KV.Weights != s.weights {
			return api.RefusalWeights
		}
	}
	if o.Fence.Before(s.accepted) {
		s.outdatedOrders++
	}
	s.accepted = o.Fence
	s.failure = ""
	s.runningOrders++
	s.acceptedOrders = append(s.acceptedOrders, o)
	s.maxConcurrentOrders = max(s.maxConcurrentOrders, s.runningOrders)
	return ""
}

// executeOrder runs an order that was accepted by the given incarnation.
func (s *Server) executeOrder(o api.Order, incarnation uint64) api.Reply {
	var reply api.Reply
	var err error
	switch o.Kind {
	case api.OrderLoad:
		err = s.load(o, incarnation)
	case api.OrderRole:
		s.mu.Lock()
		s.role = o.Role
		s.mu.Unlock()
	case api.OrderExportKV:
		reply.KV, err = s.export(o)
	case api.OrderImportKV:
		err = s.importKV(o)
	default:
		err = merry.Errorf("unknown order kind %q", o.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return reply
	}
	s.runningOrders--
	if err != nil {
		s.failure, reply.Failure = err.Error(), err.Error()
	}
	return reply
}

// load reads the staged files one after another. It does not verify anything, and the
// results of concurrent loads get mixed.
func (s *Server) load(o api.Order, incarnation uint64) error {
	paths, err := orderPaths(o)
	s.mu.Lock()
	s.weights = model.Weights{}
	s.loaded = slices.Grow(s.loaded[:0:0], len(paths))
	s.cache.clear(s.weights, time.Now())
	crash, fail := consumeFault(&s.faults.CrashLoads), consumeFault(&s.faults.FailLoads)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	pause := s.cfg.scaled(s.cfg.LoadTime) / time.Duration(max(len(paths), 1))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if !s.storeDigest(i, model.Sum(data), incarnation) {
			return merry.New("engine restarted")
		}
		if i == len(paths)/2 && fail {
			return merry.New("out of memory")
		}
		if i == len(paths)/2 && crash {
			s.Crash()
			return merry.New("engine crashed")
		}
		s.sleep(pause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation == s.incarnation {
		s.weights = o.Weights
	}
	return nil
}

// storeDigest records a loaded file. It returns false if the engine has restarted.
func (s *Server) storeDigest(index int, digest model.Digest, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return false
	}
	for len(s.loaded) <= index {
		s.loaded = append(s.loaded, model.Digest{})
	}
	s.loaded[index] = digest
	return true
}

// orderPaths returns the file paths of an order, base before adapter.
func orderPaths(o api.Order) ([]string, error) {
	var paths []string
	for _, p := range []api.StagedFiles{o.Base, o.Adapter} {
		names := p.Files
		if len(names) == 0 && p.Directory != "" {
			entries, err := os.ReadDir(p.Directory)
			if err != nil {
				return nil, err
			}
			for _, e := range entries {
				if e.Type().IsRegular() {
					names = append(names, e.Name())
				}
			}
		}
		for _, name := range names {
			paths = append(paths, filepath.Join(p.Directory, name))
		}
	}
	return paths, nil
}

// export aborts a stream and returns what another engine needs to continue it.
func (s *Server) export(o api.Order) (*api.KVCache, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[o.Stream]
	if !ok || st.finished() {
		return nil, merry.New(api.RefusalStream)
	}
	data, err := json.Marshal(exportedStream{Request: st.req, Frames: st.frames})
	if err != nil {
		return nil, err
	}
	st.abortWith("exported", time.Now())
	return &api.KVCache{Weights: s.weights, Stream: o.Stream, Offset: uint64(len(st.frames)), Data: data}, nil
}

func (s *Server) importKV(o api.Order) error {
	if o.KV == nil {
		return merry.New("import order has no KV cache")
	}
	var saved exportedStream
	if err := json.Unmarshal(o.KV.Data, &saved); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	st := newStream(saved.Request, s.arrivals, time.Now())
	st.frames = saved.Frames
	s.streams[o.KV.Stream] = st
	s.waiting = append(s.waiting, st)
	return nil
}
