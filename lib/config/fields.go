package config

import (
	"strconv"
	"time"
)

// field is one key and its value in the declaration file.
type field struct {
	key   string
	value string
}

// section is one declared object as it appears in the declaration file.
type section struct {
	name   string
	fields []field
}

func modelSection(m Model) string { return "model " + m.Name + " " + m.Version }
func placementSection(p Placement) string {
	return "placement " + p.Pool + " " + string(p.FailureDomain)
}
func serviceSection(s Service) string { return "service " + string(s.Name) }
func tenantSection(t Tenant) string   { return "tenant " + string(t.Name) }
func classSection(c Class) string     { return "class " + string(c.Name) }

// sections returns all declared objects in canonical order. It omits base and
// base_version of base models, and model and version of plain services.
func (c *Config) sections() []section {
	c = c.Canonical()
	list := []section{{"deployment", deploymentFields(c.Deployment)}}
	for _, m := range c.Models {
		list = append(list, section{modelSection(m), modelFields(m)})
	}
	for _, p := range c.Placements {
		list = append(list, section{placementSection(p), placementFields(p)})
	}
	for _, s := range c.Services {
		list = append(list, section{serviceSection(s), serviceFields(s)})
	}
	for _, t := range c.Tenants {
		list = append(list, section{tenantSection(t), tenantFields(t)})
	}
	for _, cl := range c.Classes {
		list = append(list, section{classSection(cl), classFields(cl)})
	}
	return list
}

func deploymentFields(d Deployment) []field {
	return []field{
		{"time_weight", formatFloat(d.TimeWeight)},
		{"origin_copies", strconv.Itoa(d.OriginCopies)},
		{"transfer_share", formatFloat(d.TransferShare)},
		{"claim_retention", formatDuration(d.ClaimRetention)},
	}
}

func modelFields(m Model) []field {
	fields := []field{
		{"manifest", m.Manifest.String()},
		{"manifest_object", m.ManifestObject},
		{"bytes", formatBytes(m.Bytes)},
	}
	if m.Base != "" {
		fields = append(fields, field{"base", m.Base}, field{"base_version", m.BaseVersion})
	}
	return fields
}

func placementFields(p Placement) []field {
	return []field{
		{"model", p.Model},
		{"version", p.Version},
		{"replicas", strconv.Itoa(p.Replicas)},
		{"min_live", strconv.Itoa(p.MinLive)},
		{"role", p.Role.String()},
	}
}

func serviceFields(s Service) []field {
	fields := []field{{"kind", string(s.Kind)}, {"pool", s.Pool}}
	if s.Kind == KindModel {
		fields = append(fields, field{"model", s.Model}, field{"version", s.Version})
	}
	return append(
		fields,
		field{"repeatable", strconv.FormatBool(s.Repeatable)},
		field{"timeout", formatDuration(s.Timeout)},
		field{"max_body", formatBytes(s.MaxBodyBytes)},
	)
}

func tenantFields(t Tenant) []field {
	return []field{
		{"share", strconv.Itoa(t.Share)},
		{"max_queued", strconv.Itoa(t.MaxQueued)},
		{"retry_share", formatFloat(t.RetryShare)},
	}
}

func classFields(c Class) []field {
	return []field{
		{"priority", strconv.Itoa(c.Priority)},
		{"first_token", formatDuration(c.FirstToken)},
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatDuration(d time.Duration) string { return d.String() }
