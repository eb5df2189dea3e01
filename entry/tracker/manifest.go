package tracker

import (
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// handleManifestFetch returns the manifest if it is known. Otherwise it refuses
// the request of one agent at a time, which makes that agent read the manifest
// from the origin; the others wait for its result.
func (s *Service) handleManifestFetch(session *Session, digest model.Digest) []outgoing {
	v := s.touchVersion(digest)
	if v.encoded != nil {
		return []outgoing{{session, &wire.ManifestData{Manifest: digest, Data: v.encoded}}}
	}
	now := s.cfg.Clock.Now()
	if now.Before(v.originFetchDeadline) {
		v.manifestWaiters = append(v.manifestWaiters, session)
		return nil
	}
	v.originFetchDeadline = now.Add(s.cfg.ManifestTimeout)
	return []outgoing{{session, &wire.ManifestRefused{Manifest: digest}}}
}

// handleManifestData accepts a manifest that an agent forwards, after checking
// its digest. It answers the waiting requests and processes the announcements
// that arrived before.
func (s *Service) handleManifestData(data *wire.ManifestData) []outgoing {
	v, ok := s.versions[data.Manifest]
	if !ok || v.tracker != nil {
		return nil
	}
	m, err := weights.Decode(data.Data, data.Manifest)
	if err != nil {
		s.cfg.Log.Log(eventlog.ManifestCorrupt, "manifest", data.Manifest.Short(), "err", err)
		return nil
	}
	v.encoded, v.tracker = data.Data, s.newTracker(data.Manifest, m)
	var out []outgoing
	for _, session := range v.manifestWaiters {
		out = append(out, outgoing{session, data})
	}
	v.manifestWaiters = nil
	now := s.cfg.Clock.Now()
	for address, a := range v.pendingAnnounces {
		if session, ok := v.sessions[address]; ok {
			s.logReport(session, v.tracker.HandleAnnounce(now, session.identity, a))
		}
	}
	v.pendingAnnounces = make(map[string]*wire.Announce)
	return append(out, s.schedule(v)...)
}
