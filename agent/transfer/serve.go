package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ServePeer answers a peer's requests for chunks, manifests and bitmaps until
// the connection fails. The handshake is done. Requests on one connection are
// answered one after the other.
func (s *Service) ServePeer(conn *wire.Conn) error {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		if _, err := s.HandlePeerMessage(conn, m); err != nil {
			return err
		}
	}
}

// HandlePeerMessage answers one message of a peer and reports whether it was one that
// belongs to transfers. It blocks while a chunk is sent.
func (s *Service) HandlePeerMessage(conn *wire.Conn, m wire.Message) (bool, error) {
	switch m := m.(type) {
	case *wire.ChunkFetch:
		return true, s.serveChunk(conn, m)
	case *wire.ManifestFetch:
		return true, conn.Send(s.manifestReply(m.Manifest))
	case *wire.Announce:
		return true, conn.Send(&wire.Announce{Manifest: m.Manifest, Have: s.have(m.Manifest), Uploads: len(s.slots)})
	default:
		return false, nil
	}
}

func (s *Service) manifestReply(digest model.Digest) wire.Message {
	if k := s.known(digest); k != nil {
		return &wire.ManifestData{Manifest: digest, Data: k.encoded}
	}
	return &wire.ManifestRefused{Manifest: digest}
}

func (s *Service) have(digest model.Digest) []byte {
	if k := s.known(digest); k != nil {
		return s.cfg.Chunks.Have(k.manifest)
	}
	return nil
}

func (s *Service) serveChunk(conn *wire.Conn, m *wire.ChunkFetch) error {
	if !s.cfg.Chunks.Has(m.Chunk) {
		return conn.Send(&wire.ChunkRefused{Request: m.Request})
	}
	if !s.acquireSlot() {
		return conn.Send(&wire.ChunkRefused{Request: m.Request, Busy: true})
	}
	defer func() { <-s.slots }()
	data, err := s.cfg.Chunks.Get(m.Chunk)
	if err != nil {
		return conn.Send(&wire.ChunkRefused{Request: m.Request})
	}
	if err := s.limits.waitUpload(s.ctx, len(data)); err != nil {
		return err
	}
	s.counters.upload.Add(int64(len(data)))
	// A receiver behind a stalled link must not keep the slot: the connection is
	// closed well before the write times out.
	started := time.Now()
	timer := time.AfterFunc(s.sendTimes.limit(), func() { _ = conn.Close() })
	defer timer.Stop()
	if err := conn.SendWritten(&wire.ChunkData{Request: m.Request, Data: data}); err != nil {
		return err
	}
	s.sendTimes.add(time.Since(started))
	return nil
}

// acquireSlot takes an upload slot. It waits a little, because a slot that the
// tracker counts as free may still be in use.
func (s *Service) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(s.cfg.UploadSlotTimeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}
