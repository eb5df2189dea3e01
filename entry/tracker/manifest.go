package tracker

import (
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// manifestFetch answers with the manifest. If it is unknown, one agent at a time
// is refused, which sends it to the origin; the others wait for its result.
func (s *Service) manifestFetch(c *Session, digest model.Digest) []outgoing {
	v := s.version(digest)
	if v.encoded != nil {
		return []outgoing{{c, &wire.ManifestData{Manifest: digest, Data: v.encoded}}}
	}
	now := s.cfg.Clock.Now()
	if now.Before(v.fetchUntil) {
		v.waiting = append(v.waiting, c)
		return nil
	}
	v.fetchUntil = now.Add(s.cfg.ManifestTimeout)
	return []outgoing{{c, &wire.ManifestRefused{Manifest: digest}}}
}

// manifestData takes a manifest that an agent passes on. Its digest proves it.
func (s *Service) manifestData(data *wire.ManifestData) []outgoing {
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
	for _, c := range v.waiting {
		out = append(out, outgoing{c, data})
	}
	v.waiting = nil
	now := s.cfg.Clock.Now()
	for address, a := range v.pending {
		if c, ok := v.members[address]; ok {
			s.notice(c, v.tracker.HandleAnnounce(now, c.identity, a))
		}
	}
	v.pending = make(map[string]*wire.Announce)
	return append(out, s.schedule(v)...)
}
