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

// savedStream is the data of an exported KV cache.
type savedStream struct {
	Request api.Request `json:"request"`
	Frames  [][]byte    `json:"frames"`
}

// accept takes an order on, or returns the reason to refuse it. The caller
// holds the lock.
func (s *Server) accept(o api.Order) string {
	if !s.cfg.IgnoreFencing {
		if !s.accepted.Before(o.Fence) {
			return api.RefusalFenced
		}
		if s.orders > 0 {
			return api.RefusalBusy
		}
	}
	if !s.cfg.IgnoreWeights && (o.Kind == api.OrderExportKV || o.Kind == api.OrderImportKV) {
		if o.Weights != s.weights || o.KV != nil && o.KV.Weights != s.weights {
			return api.RefusalWeights
		}
	}
	if o.Fence.Before(s.accepted) {
		s.ignored++
	}
	s.accepted = o.Fence
	s.failure = ""
	s.orders++
	s.given = append(s.given, o)
	s.maxOrders = max(s.maxOrders, s.orders)
	return ""
}

// carryOut runs an order that was accepted in the given incarnation.
func (s *Server) carryOut(o api.Order, incarnation uint64) api.Reply {
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
	s.orders--
	if err != nil {
		s.failure, reply.Failure = err.Error(), err.Error()
	}
	return reply
}

// load reads the staged files one after the other into memory. Nothing is
// checked; a second load at the same time mixes with it.
func (s *Server) load(o api.Order, incarnation uint64) error {
	paths, err := files(o)
	s.mu.Lock()
	s.weights = model.Weights{}
	s.memory = slices.Grow(s.memory[:0:0], len(paths))
	s.cache.clear(s.weights, time.Now())
	crash, fail := takeFault(&s.faults.CrashLoads), takeFault(&s.faults.FailLoads)
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
		if !s.write(i, model.Sum(data), incarnation) {
			return merry.New("engine restarted")
		}
		if i == len(paths)/2 && fail {
			return merry.New("out of memory")
		}
		if i == len(paths)/2 && crash {
			s.Crash()
			return merry.New("engine crashed")
		}
		s.pause(pause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation == s.incarnation {
		s.weights = o.Weights
	}
	return nil
}

func (s *Server) write(index int, digest model.Digest, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation != s.incarnation {
		return false
	}
	for len(s.memory) <= index {
		s.memory = append(s.memory, model.Digest{})
	}
	s.memory[index] = digest
	return true
}

// files lists the paths of an order, base before adapter.
func files(o api.Order) ([]string, error) {
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

// export ends a stream here and returns what another engine needs to go on.
func (s *Server) export(o api.Order) (*api.KVCache, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[o.Stream]
	if !ok || st.over() {
		return nil, merry.New(api.RefusalStream)
	}
	data, err := json.Marshal(savedStream{Request: st.req, Frames: st.frames})
	if err != nil {
		return nil, err
	}
	st.stop("exported", time.Now())
	return &api.KVCache{Weights: s.weights, Stream: o.Stream, Offset: uint64(len(st.frames)), Data: data}, nil
}

func (s *Server) importKV(o api.Order) error {
	if o.KV == nil {
		return merry.New("order carries no cache")
	}
	var saved savedStream
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
