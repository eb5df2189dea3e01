package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ServePeer serves a peer's requests for chunks, manifests and bitmaps, one
// after the other, until the connection fails or the service is closed. It
// closes the connection. The handshake must be complete.
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

// HandlePeerMessage replies to one message of a peer. It returns false if the
// message is not part of the transfer protocol. It blocks while a chunk is sent.
func (s *Service) HandlePeerMessage(conn *wire.Conn, m wire.Message) (bool, error) {
	switch m := m.(type) {
	case *wire.ChunkFetch:
		return true, s.serveChunk(conn, m)
	case *wire.ManifestFetch:
		return true, conn.Send(s.manifestReply(m.Manifest))
	case *wire.Announce:
		return true, conn.Send(&wire.Announce{Manifest: m.Manifest, ChunkBitmap: s.bitmap(m.Manifest), ActiveUploads: len(s.uploadSlots)})
	default:
		return false, nil
	}
}

func (s *Service) manifestReply(digest model.Digest) wire.Message {
	if parsed := s.lookupManifest(digest); parsed != nil {
		return &wire.ManifestData{Manifest: digest, Data: parsed.encoded}
	}
	return &wire.ManifestRefused{Manifest: digest}
}

// bitmap returns the held chunks of a version, or nil if its manifest is unknown.
func (s *Service) bitmap(digest model.Digest) []byte {
	if parsed := s.lookupManifest(digest); parsed != nil {
		return s.cfg.Chunks.Have(parsed.manifest)
	}
	return nil
}

func (s *Service) serveChunk(conn *wire.Conn, m *wire.ChunkFetch) error {
	if !s.cfg.Chunks.Has(m.Chunk) {
		return conn.Send(&wire.ChunkRefused{RequestID: m.RequestID})
	}
	if !s.acquireUploadSlot() {
		return conn.Send(&wire.ChunkRefused{RequestID: m.RequestID, Busy: true})
	}
	defer func() { <-s.uploadSlots }()
	data, err := s.cfg.Chunks.Get(m.Chunk)
	if err != nil {
		s.cfg.Log.Log(eventlog.ChunkCorrupt, "chunk", m.Chunk.Short(), "source", "staging directory", "err", err)
		return conn.Send(&wire.ChunkRefused{RequestID: m.RequestID})
	}
	if err := s.limits.waitUpload(s.ctx, len(data)); err != nil {
		return err
	}
	s.counters.upload.Add(int64(len(data)))
	// A receiver behind a stalled link must not occupy the slot: the connection
	// is closed well before the write would time out.
	started := time.Now()
	timer := time.AfterFunc(s.sendTimes.timeout(), func() { _ = conn.Close() })
	defer timer.Stop()
	if err := conn.SendAndFlush(&wire.ChunkData{RequestID: m.RequestID, Data: data}); err != nil {
		return err
	}
	s.sendTimes.add(time.Since(started))
	return nil
}

// acquireUploadSlot reports whether it acquired an upload slot. It waits up to
// UploadSlotTimeout, because a slot that the tracker considers free may still
// be in use.
func (s *Service) acquireUploadSlot() bool {
	select {
	case s.uploadSlots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(s.cfg.UploadSlotTimeout)
	defer timer.Stop()
	select {
	case s.uploadSlots <- struct{}{}:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}
