package cli

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/settings"
)

// planLinks are the flags of the plan command. parse sets the rates, in bytes per
// second, from their flags.
type planLinks struct {
	originFlag, instanceFlag, regionFlag string
	originRate, instanceRate, regionRate float64
	target                               time.Duration
}

func (l *planLinks) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&l.originFlag, "origin", "", "rate of the origin's link, for example 2Gbit/s")
	flags.StringVar(&l.instanceFlag, "instance", "", "rate of an instance's link")
	flags.StringVar(&l.regionFlag, "region", "20Mbit/s", "rate of the link between two regions, in each direction")
	flags.DurationVar(&l.target, "target", 0, "target time until all instances hold a version; 0 means no target")
	_ = cmd.MarkFlagRequired("origin")
	_ = cmd.MarkFlagRequired("instance")
}

func (l *planLinks) parse() error {
	for _, rate := range []struct {
		name, text string
		dst        *float64
	}{{"origin", l.originFlag, &l.originRate}, {"instance", l.instanceFlag, &l.instanceRate}, {"region", l.regionFlag, &l.regionRate}} {
		parsed, err := settings.ParseRate(rate.text)
		if err != nil {
			return merry.Prependf(err, "--%s", rate.name)
		}
		*rate.dst = parsed.BytesPerSecond()
	}
	return nil
}
