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

// Service is the transfer component of one agent. It is safe for concurrent
// use.
type Service struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	counters    counters
	limits      *limits
	pool        *connPool
	uploadSlots chan struct{}
	// sendTimes limits how long a stalled receiver can occupy an upload slot.
	sendTimes      sendTimes
	targets        chan *target
	statusReports  chan *wire.TransferStatus
	permitRequests chan permitRequest

	mu             sync.Mutex
	rand           *rand.Rand
	entries        []string
	peers          []string
	entriesChanged chan struct{} // closed and replaced when entries change
	manifests      map[model.Digest]*parsedManifest
	retained       []model.Digest
	partials       *partials
	linkShare      *distribute.LinkShare
}

// parsedManifest is a manifest together with its encoding.
type parsedManifest struct {
	manifest *weights.Manifest
	encoded  []byte
}

// New returns a running Service. It must be closed after use.
func New(cfg Config) *Service {
	cfg.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg: cfg, ctx: ctx, cancel: cancel,
		limits:         newLimits(cfg.UploadRate, cfg.DownloadRate),
		uploadSlots:    make(chan struct{}, cfg.UploadSlots),
		targets:        make(chan *target),
		statusReports:  make(chan *wire.TransferStatus, 8),
		permitRequests: make(chan permitRequest),
		rand:           rand.New(rand.NewSource(cfg.Seed)),
		entriesChanged: make(chan struct{}),
		manifests:      make(map[model.Digest]*parsedManifest),
		partials:       newPartials(cfg.WindowBytes),
		linkShare:      distribute.NewLinkShare(cfg.LinkShare),
	}
	s.pool = newConnPool(s.dial)
	s.limits.setShare(s.linkShare.Share())
	s.wg.Add(1)
	go s.run()
	return s
}

// Close stops all transfers and waits for the service's goroutines.
func (s *Service) Close() {
	s.cancel()
	s.pool.close()
	s.wg.Wait()
}

// SetEntries sets the peer addresses of the live entries of the failure domain.
// Trackers are chosen among them in rendezvous order.
func (s *Service) SetEntries(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]string(nil), addresses...)
	close(s.entriesChanged)
	s.entriesChanged = make(chan struct{})
}

// SetPeers sets the agents to exchange chunks with when no tracker is
// reachable.
func (s *Service) SetPeers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = append([]string(nil), addresses...)
}

// Retain sets the versions whose chunks are kept when another version is
// fetched: those that the engine has loaded or may have to load again. It takes
// effect with the next Fetch of another version.
func (s *Service) Retain(manifests ...model.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = append([]model.Digest(nil), manifests...)
}

// Progress returns the progress of the current transfer.
func (s *Service) Progress() Progress {
	p := s.counters.progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.LinkShare = s.linkShare.Share()
	return p
}

// ObserveFirstToken adjusts the share of the link that transfers use. d is the
// recent time to first token of live requests, or 0 if there were none.
func (s *Service) ObserveFirstToken(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.setShare(s.linkShare.Observe(s.cfg.Clock.Now(), d))
}

// SetMaxLinkShare sets the maximum share of the link that transfers may use,
// greater than 0 and at most 1.
func (s *Service) SetMaxLinkShare(maxShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkShare.SetMax(maxShare)
	s.limits.setShare(s.linkShare.Share())
}

// ReportPhase reports the phase of a version to its tracker, if that version is
// the current target. It does not block; a report may be dropped.
func (s *Service) ReportPhase(manifest model.Digest, phase wire.Phase) {
	select {
	case s.statusReports <- &wire.TransferStatus{Manifest: manifest, Phase: phase}:
	default: // soft state: a later report replaces this one
	}
}

// Verify verifies all chunks of a version against its manifest. It returns
// weights.ErrIncomplete if the manifest is unknown.
func (s *Service) Verify(manifest model.Digest) error {
	parsed := s.lookupManifest(manifest)
	if parsed == nil {
		return weights.ErrIncomplete
	}
	return s.cfg.Chunks.Verify(parsed.manifest)
}

// Seal verifies all chunks of a version like Verify, and returns their seal.
func (s *Service) Seal(ctx context.Context, manifest model.Digest) (weights.Seal, error) {
	parsed := s.lookupManifest(manifest)
	if parsed == nil {
		return weights.Seal{}, weights.ErrIncomplete
	}
	return s.cfg.Chunks.Seal(ctx, parsed.manifest)
}

// CheckSeal verifies all chunks of a version like Verify, and that nobody has
// written to them since the seal was made.
func (s *Service) CheckSeal(ctx context.Context, manifest model.Digest, seal weights.Seal) error {
	parsed := s.lookupManifest(manifest)
	if parsed == nil {
		return weights.ErrIncomplete
	}
	return s.cfg.Chunks.CheckSeal(ctx, parsed.manifest, seal)
}

// Manifest returns a manifest, or nil if it has not been fetched.
func (s *Service) Manifest(manifest model.Digest) *weights.Manifest {
	if parsed := s.lookupManifest(manifest); parsed != nil {
		return parsed.manifest
	}
	return nil
}

func (s *Service) lookupManifest(digest model.Digest) *parsedManifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifests[digest]
}

// addManifest decodes, verifies and stores a manifest.
func (s *Service) addManifest(digest model.Digest, data []byte) (*parsedManifest, error) {
	m, err := weights.Decode(data, digest)
	if err != nil {
		return nil, err
	}
	parsed := &parsedManifest{manifest: m, encoded: data}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests[digest] = parsed
	return parsed, nil
}

// jitter returns a random duration between d/2 and d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rand.Int63n(int64(d)/2+1))
}

// Address returns the peer address at which the instance serves chunks.
func (s *Service) Address() string { return s.cfg.Identity.Address }
