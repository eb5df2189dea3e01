package config

// Keys name one declared object within its kind. Names cannot contain the
// separator.

func modelKey(m Model) string         { return m.Name + "/" + m.Version }
func placementKey(p Placement) string { return p.Pool + "/" + string(p.FailureDomain) }
func serviceKey(s Service) string     { return string(s.Name) }
func tenantKey(t Tenant) string       { return string(t.Name) }
func classKey(c Class) string         { return string(c.Name) }
