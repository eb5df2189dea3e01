package transfer

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Service is the transfer role of one agent. It is safe for concurrent use.
// Close ends all its goroutines.
type Service struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	counters counters
	limits   *limits
	pool     *connPool
	slots    chan struct{}
	// sendTimes bounds how long a stalled receiver keeps a slot.
	sendTimes sendTimes
	targets   chan *target
	status    chan *wire.TransferStatus
	permits   chan permitRequest

	mu        sync.Mutex
	rand      *rand.Rand
	entries   []string
	peers     []string
	changed   chan struct{} // closed when entries change
	manifests map[model.Digest]*known
	keep      []model.Digest
	partials  *partials
	share     *distribute.LinkShare
}

// known is a manifest and its encoding.
type known struct {
	manifest *weights.Manifest
	encoded  []byte
}

// New returns a running Service.
func New(cfg Config) *Service {
	cfg.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg: cfg, ctx: ctx, cancel: cancel,
		limits:    newLimits(cfg.UploadRate, cfg.DownloadRate),
		slots:     make(chan struct{}, cfg.UploadSlots),
		targets:   make(chan *target),
		status:    make(chan *wire.TransferStatus, 8),
		permits:   make(chan permitRequest),
		rand:      rand.New(rand.NewSource(cfg.Seed)),
		changed:   make(chan struct{}),
		manifests: make(map[model.Digest]*known),
		partials:  newPartials(cfg.WindowBytes),
		share:     distribute.NewLinkShare(cfg.LinkShare),
	}
	s.pool = newConnPool(s.dial)
	s.limits.set(s.share.Share())
	s.wg.Add(1)
	go s.run()
	return s
}

// Close ends all transfers.
func (s *Service) Close() {
	s.cancel()
	s.pool.close()
	s.wg.Wait()
}

// SetEntries names the peer addresses of the live entries of the failure
// domain, from which trackers are picked in rendezvous order.
func (s *Service) SetEntries(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]string(nil), addresses...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetPeers names agents to exchange chunks with when no tracker is reachable.
func (s *Service) SetPeers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = append([]string(nil), addresses...)
}

// Retain names the versions whose chunks stay although another one is wanted:
// what the engine has loaded and may have to load again.
func (s *Service) Retain(manifests ...model.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = append([]model.Digest(nil), manifests...)
}

// Progress reports the current transfer.
func (s *Service) Progress() Progress {
	p := s.counters.progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.LinkShare = s.share.Share()
	return p
}

// ObserveFirstToken takes the recent time to first token of live requests, or 0
// if there were none, and sets the share of the link that transfers use.
func (s *Service) ObserveFirstToken(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.set(s.share.Observe(s.cfg.Clock.Now(), d))
}

// SetMaxLinkShare sets the largest part of the link that transfers use.
func (s *Service) SetMaxLinkShare(most float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.SetMax(most)
	s.limits.set(s.share.Share())
}

// ReportPhase sends the phase of a version to its tracker, if it is the version that
// Fetch got last.
func (s *Service) ReportPhase(manifest model.Digest, phase wire.Phase) {
	select {
	case s.status <- &wire.TransferStatus{Manifest: manifest, Phase: phase}:
	default: // soft state: a later report replaces it
	}
}

// Verify checks the whole set against its manifest. It is called right before
// the load order.
func (s *Service) Verify(manifest model.Digest) error {
	k := s.known(manifest)
	if k == nil {
		return weights.ErrIncomplete
	}
	return s.cfg.Chunks.Verify(k.manifest)
}

// Manifest returns a manifest that was fetched, or nil.
func (s *Service) Manifest(manifest model.Digest) *weights.Manifest {
	if k := s.known(manifest); k != nil {
		return k.manifest
	}
	return nil
}

func (s *Service) known(digest model.Digest) *known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifests[digest]
}

func (s *Service) learn(digest model.Digest, data []byte) (*known, error) {
	m, err := weights.Decode(data, digest)
	if err != nil {
		return nil, err
	}
	k := &known{manifest: m, encoded: data}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests[digest] = k
	return k, nil
}

// jitter returns a duration between d/2 and d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rand.Int63n(int64(d)/2+1))
}

// Address returns the peer address under which the instance serves chunks.
func (s *Service) Address() string { return s.cfg.Identity.Address }
