package cli

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/settings"
)

// planLinks are the rates that a plan is calculated from, in bytes per second.
type planLinks struct {
	originFlag, instanceFlag, regionFlag string
	origin, instance, region             float64
	target                               time.Duration
}

func (l *planLinks) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&l.originFlag, "origin", "", "rate of the origin's link, such as 2Gbit/s")
	flags.StringVar(&l.instanceFlag, "instance", "", "rate of an instance's link")
	flags.StringVar(&l.regionFlag, "region", "20Mbit/s", "rate between two regions in each direction")
	flags.DurationVar(&l.target, "target", 0, "time in which all instances should hold a version; 0 means none")
	_ = cmd.MarkFlagRequired("origin")
	_ = cmd.MarkFlagRequired("instance")
}

func (l *planLinks) parse() error {
	for _, rate := range []struct {
		name, text string
		into       *float64
	}{{"origin", l.originFlag, &l.origin}, {"instance", l.instanceFlag, &l.instance}, {"region", l.regionFlag, &l.region}} {
		parsed, err := settings.ParseRate(rate.text)
		if err != nil {
			return merry.Prependf(err, "--%s", rate.name)
		}
		*rate.into = parsed.BytesPerSecond()
	}
	return nil
}
