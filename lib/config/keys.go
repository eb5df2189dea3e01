package config

// The functions below return the key that identifies an object among those of its
// kind. Validated names do not contain the separator.

func modelKey(m Model) string         { return m.Name + "/" + m.Version }
func placementKey(p Placement) string { return p.Pool + "/" + string(p.FailureDomain) }
func serviceKey(s Service) string     { return string(s.Name) }
func tenantKey(t Tenant) string       { return string(t.Name) }
func classKey(c Class) string         { return string(c.Name) }
