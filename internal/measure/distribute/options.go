package distribute

import (
	"time"

	"github.com/spf13/cobra"
)

// Options holds the flags of the experiment.
type Options struct {
	Agents, Domains   int
	Entries           int
	Size, ChunkSize   int
	Window            time.Duration
	OriginCopies      float64
	InstanceCopies    float64
	InterRegionCopies float64
	LinkShare         float64
	TimeWeight        float64
	KillShare         float64
	CorruptShare      float64
	StallShare        float64
	Seed              int64
	PlotPath          string
	Runs              string
	Streams           int
	UploadSlots       int
	QueueDepth        int
	OriginStreams     int
	RemoteStreams     int
}

func (o *Options) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.IntVar(&o.Agents, "agents", 60, "number of instances")
	f.IntVar(&o.Domains, "domains", 3, "number of failure domains, each in its own region")
	f.IntVar(&o.Entries, "entries", 2, "entries in each failure domain")
	f.IntVar(&o.Size, "size", 8<<20, "size of the weights in bytes")
	f.IntVar(&o.ChunkSize, "chunk-size", 32<<10, "size of a chunk in bytes")
	f.DurationVar(&o.Window, "window", 7*time.Second, "distribution window, from which link rates are derived")
	f.Float64Var(&o.OriginCopies, "origin-copies", 4, "copies that the origin's link carries in a window")
	f.Float64Var(&o.InstanceCopies, "instance-copies", 2, "copies that an instance's link carries in a window, in each direction")
	f.Float64Var(&o.InterRegionCopies, "inter-region-copies", 0.5, "copies that the link between two regions carries in a window, in each direction")
	f.Float64Var(&o.LinkShare, "link-share", 0.8, "share of the links between regions that transfers use")
	f.Float64Var(&o.TimeWeight, "time-weight", 1, "weight of time against origin bytes in the run with faults, 0 to 1")
	f.Float64Var(&o.KillShare, "kill", 0.10, "share of instances killed at random times in the run with faults")
	f.Float64Var(&o.CorruptShare, "corrupt", 0.05, "share of chunk transfers that are corrupted in the run with faults")
	f.Float64Var(&o.StallShare, "stall", 0.10, "share of directed links between two instances, or from the origin to one, that stall for the rest of the run with faults")
	f.Int64Var(&o.Seed, "seed", 1, "seed of all random choices")
	f.StringVar(&o.PlotPath, "plot", "", "file for an SVG plot of complete instances over time")
	f.StringVar(&o.Runs, "only", "", "comma-separated list of runs: time, bytes, faults, origin, tree; all if empty")
	f.IntVar(&o.Streams, "streams", 5, "chunks that an instance fetches concurrently")
	f.IntVar(&o.QueueDepth, "ahead", 1, "assignments that an instance queues for a free stream")
	f.IntVar(&o.UploadSlots, "upload-slots", 6, "concurrent assignments with the same instance as source")
	f.IntVar(&o.OriginStreams, "origin-streams", 3, "concurrent origin fetches of a failure domain")
	f.IntVar(&o.RemoteStreams, "remote-streams", 4, "concurrent fetches of a failure domain from one other region")
}

// rate converts copies per window to bytes per second.
func (o *Options) rate(copies float64) float64 {
	return copies * float64(o.Size) / o.Window.Seconds()
}

// lowerBound returns the shortest time possible with any method:
// max(size/origin, size/download, N*size/(origin+uploads)).
func (o *Options) lowerBound() time.Duration {
	origin, link := o.rate(o.OriginCopies), o.rate(o.InstanceCopies)
	size, n := float64(o.Size), float64(o.Agents)
	s := max(size/origin, size/link, n*size/(origin+n*link))
	return time.Duration(s * float64(time.Second))
}
