package config

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// observationTime is the simulated time over which rates are measured.
const observationTime = 10 * time.Minute

// reportReads measures the load on the store with 600 entries and 6,000 changes a
// day. The simulation has no agents: they receive the configuration from entries
// and never read the store.
func reportReads(printer *figure.Printer, seed int64) error {
	jittered, writes, err := measureReads(seed, false)
	if err != nil {
		return err
	}
	fixed, _, err := measureReads(seed, true)
	if err != nil {
		return err
	}
	for _, f := range []figure.Figure{
		{Name: "config_store_reads_600_entries", Value: jittered, Unit: "reads/s", Bound: figure.AtMost(maxStoreReadsPerSecond), Baseline: &fixed},
		{Name: "config_store_rows_written", Value: writes, Unit: "rows/s"},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

func measureReads(seed int64, fixed bool) (readRate, writeRate float64, err error) {
	s := configsim.New(configsim.Config{Domains: 15, EntriesPerDomain: 40, FixedIntervals: fixed, Seed: seed})
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return 0, 0, err
	}
	s.StartAll()
	s.Run(warmupTime)
	before := s.Table.Stats()
	start := s.ElapsedSeconds()
	if err := applyChanges(s, o, changeLoad{interval: dailyInterval, count: int(observationTime / dailyInterval)}); err != nil {
		return 0, 0, err
	}
	total := 0
	for second, n := range s.ReadsBySecond() {
		if second >= start {
			total += n
		}
	}
	elapsed := float64(s.ElapsedSeconds() - start)
	return float64(total) / elapsed, float64(s.Table.Stats().Writes-before.Writes) / elapsed, nil
}

// reportOutage measures the peak of store reads per second with 600 entries: the
// store is down for 10 min, responds slowly for 2 min and then recovers.
func reportOutage(printer *figure.Printer, seed int64) error {
	peak, recoveryPeak, err := measureOutage(seed, false)
	if err != nil {
		return err
	}
	fixedPeak, fixedRecoveryPeak, err := measureOutage(seed, true)
	if err != nil {
		return err
	}
	for _, f := range []figure.Figure{
		{Name: "config_peak_reads_outage", Value: peak, Unit: "reads/s", Bound: figure.AtMost(maxStoreReadsPerSecond), Baseline: &fixedPeak},
		{Name: "config_peak_reads_at_return", Value: recoveryPeak, Unit: "reads/s", Bound: figure.AtMost(maxStoreReadsPerSecond), Baseline: &fixedRecoveryPeak},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

// measureOutage returns the peak of store reads per second over the whole run and
// after the recovery of the store.
func measureOutage(seed int64, fixed bool) (peak, recoveryPeak float64, err error) {
	s := configsim.New(configsim.Config{Domains: 15, EntriesPerDomain: 40, FixedIntervals: fixed, Seed: seed})
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return 0, 0, err
	}
	s.StartAll()
	s.Run(time.Minute)
	s.StoreState = configsim.StoreDown
	s.Run(10 * time.Minute)
	s.StoreState = configsim.StoreSlow
	s.Run(2 * time.Minute)
	s.StoreState = configsim.StoreUp
	recovery := s.ElapsedSeconds()
	s.Run(time.Minute)
	return float64(s.PeakReads(0)), float64(s.PeakReads(recovery)), nil
}
