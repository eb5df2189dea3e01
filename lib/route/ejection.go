package route

import "time"

// Ejected returns the number of ejected instances of a pool and the current
// maximum.
func (p *Picker) Ejected(now time.Time, pool string) (ejected, limit int) {
	return p.countEjected(p.instant(now), pool), p.maxEjected(pool)
}

func (p *Picker) countEjected(now instant, pool string) int {
	n := 0
	for _, s := range p.slots {
		if s != nil && s.Pool == pool && s.outlier.ejected(now) {
			n++
		}
	}
	return n
}

func (p *Picker) maxEjected(pool string) int {
	size := 0
	for _, s := range p.slots {
		if s != nil && s.Pool == pool {
			size++
		}
	}
	return int(p.cfg.MaxEjectedShare * float64(size))
}

// enforceMaxEjected readmits instances, those whose ejection ends first, until
// the number of ejected instances is within the maximum.
func (p *Picker) enforceMaxEjected(now instant, pool string) {
	for p.countEjected(now, pool) > p.maxEjected(pool) {
		var first *slot
		for _, s := range p.slots {
			if s == nil || s.Pool != pool || !s.outlier.ejected(now) {
				continue
			}
			if first == nil || s.outlier.ejectedUntil < first.outlier.ejectedUntil {
				first = s
			}
		}
		first.outlier.ejectedUntil = now
	}
}
