package telemetry

const (
	// defaultMaxNames bounds the names of one kind that ever get a label of
	// their own. A deployment has about ten teams.
	defaultMaxNames = 200
	// seriesPerInstrument bounds the label sets of one instrument; the SDK
	// counts what is beyond under an overflow label.
	seriesPerInstrument = 10_000
	// otherName stands for all names that are not declared.
	otherName = "other"
)

// Config holds the settings of Metrics.
type Config struct {
	// MaxNames bounds the tenants, classes and models that get labels.
	MaxNames int
}

func (c *Config) applyDefaults() {
	if c.MaxNames <= 0 {
		c.MaxNames = defaultMaxNames
	}
}
