package replica

import (
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// maxSuspects bounds the suspected contents that an agent remembers for
	// entries, and the parts of prompts.
	maxSuspects = 256
	// minCrashes is the number of crashed servers from which a content is sent to
	// an entry that has just started; maxInitialSuspects bounds these contents.
	minCrashes         = 2
	maxInitialSuspects = 20
	// drainingTTL is how long a draining server is remembered after an entry last
	// reported it. Entries repeat those whose rows exist. maxDraining bounds these
	// servers.
	drainingTTL = time.Minute
	maxDraining = 256
	// limitTTL is how long a rate limit is remembered after the server last stated it.
	// Entries repeat those in force. maxLimits bounds these servers.
	limitTTL  = time.Minute
	maxLimits = 256
	// gossipFanout is the number of entries per region to which gossip is
	// forwarded. The second one covers a lost datagram.
	gossipFanout = 2
)

// handleGossip records what an entry reports about backend servers and forwards
// it to entries of each region if asked to. The caller holds mu.
func (r *LoadReporter) handleGossip(now time.Time, g *peerlink.Gossip) {
	r.suspects.Tick(now)
	r.suspects.Merge(now, g.Suspects)
	r.suspectParts.Tick(now)
	r.suspectParts.Merge(now, g.Parts)
	r.recordDraining(now, g.Draining)
	r.recordLimits(now, g.Limits)
	if !g.Forward {
		return
	}
	forwarded := make(map[string]int)
	for address, s := range r.subscribers {
		if s.current(now) && !s.draining && forwarded[s.region] < gossipFanout {
			forwarded[s.region]++
			r.sendGossip(g, address)
		}
	}
}

func (r *LoadReporter) recordDraining(now time.Time, servers []peerlink.ServerKey) {
	for server, at := range r.drainingServers {
		if now.Sub(at) > drainingTTL {
			delete(r.drainingServers, server)
		}
	}
	for _, server := range servers {
		if _, known := r.drainingServers[server]; known || len(r.drainingServers) < maxDraining {
			r.drainingServers[server] = now
		}
	}
}

func (r *LoadReporter) recordLimits(now time.Time, limits []peerlink.RateLimit) {
	for server, limit := range r.limits {
		if now.Sub(limit.StatedAt) > limitTTL {
			delete(r.limits, server)
		}
	}
	for _, l := range limits {
		limit := r.limits[l.Server]
		if limit.StatedAt.IsZero() && len(r.limits) >= maxLimits {
			continue
		}
		limit.Merge(l.PerSecond, l.StatedAt(now))
		r.limits[l.Server] = limit
	}
}

// sendInitialGossip sends the known suspects, draining servers and rate limits to an
// entry that has just subscribed. The caller holds mu.
func (r *LoadReporter) sendInitialGossip(now time.Time, to netip.AddrPort) {
	gossip := &peerlink.Gossip{}
	gossip.AddSuspects(r.suspects.TopSuspects(now, minCrashes, maxInitialSuspects))
	gossip.AddParts(r.suspectParts.TopSuspects(now, minCrashes, maxInitialSuspects))
	for server, at := range r.drainingServers {
		if now.Sub(at) <= drainingTTL {
			gossip.Draining = append(gossip.Draining, server)
		}
	}
	for server, limit := range r.limits {
		if age := now.Sub(limit.StatedAt); limit.PerSecond > 0 && age <= limitTTL {
			gossip.Limits = append(gossip.Limits, peerlink.RateLimit{Server: server, PerSecond: limit.PerSecond, AgeMillis: age.Milliseconds()})
		}
	}
	if !gossip.Empty() {
		r.sendGossip(gossip, to)
	}
}

func (r *LoadReporter) sendGossip(g *peerlink.Gossip, to netip.AddrPort) {
	for _, data := range g.Datagrams(maxDatagramBytes) {
		// Entries repeat their gossip, which makes up for a lost datagram.
		_, _ = r.conn.WriteToUDPAddrPort(data, to)
	}
}
