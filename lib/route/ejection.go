package route

import "time"

// Ejected returns the number of ejected instances of a pool and the largest
// number allowed now.
func (p *Picker) Ejected(now time.Time, pool string) (ejected, limit int) {
	return p.ejected(p.instant(now), pool), p.ejectionCap(pool)
}

func (p *Picker) ejected(now instant, pool string) int {
	n := 0
	for _, s := range p.slots {
		if s != nil && s.Pool == pool && s.outlier.ejected(now) {
			n++
		}
	}
	return n
}

func (p *Picker) ejectionCap(pool string) int {
	size := 0
	for _, s := range p.slots {
		if s != nil && s.Pool == pool {
			size++
		}
	}
	return int(p.cfg.MaxEjectedShare * float64(size))
}

// keepEjectionCap readmits the instances whose ejection ends first until the
// cap holds.
func (p *Picker) keepEjectionCap(now instant, pool string) {
	for p.ejected(now, pool) > p.ejectionCap(pool) {
		var first *slot
		for _, s := range p.slots {
			if s == nil || s.Pool != pool || !s.outlier.ejected(now) {
				continue
			}
			if first == nil || s.outlier.until < first.outlier.until {
				first = s
			}
		}
		first.outlier.until = now
	}
}
