package telemetry

const (
	// defaultMaxLabelNames is far above what is needed: a deployment has about ten teams.
	defaultMaxLabelNames = 200
	// maxSeriesPerInstrument limits the label sets of one instrument. The SDK
	// counts further ones under an overflow label.
	maxSeriesPerInstrument = 10_000
	// otherLabel is the label value for all undeclared names.
	otherLabel = "other"
)

// Config configures Metrics.
type Config struct {
	// MaxLabelNames is the maximum number of tenants, and likewise of classes and of
	// models, that get a label value of their own while the process runs.
	MaxLabelNames int
}

func (c *Config) applyDefaults() {
	if c.MaxLabelNames <= 0 {
		c.MaxLabelNames = defaultMaxLabelNames
	}
}
