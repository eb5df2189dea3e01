package settings

const (
	// defaultStagingBytes is enough for the weights of a small model.
	defaultStagingBytes = 64 * GiB
	minStagingBytes     = 4 * MiB // one chunk
	maxStagingBytes     = 64 * TiB
	minLinkRate         = 100 * Kbit
	maxLinkRate         = 800 * Gbit
	maxUploadSlots      = 64
)

// Transfer holds the resources that an agent may use to distribute weights.
type Transfer struct {
	// Staging is the directory from which the engine loads weights.
	Staging string
	// StagingBytes is the maximum total size of the files in Staging.
	StagingBytes Bytes
	// LinkRate is the network bandwidth of the instance.
	LinkRate Rate
	// UploadSlots is the maximum number of chunks sent to peers concurrently.
	UploadSlots int
}

// transfer reads the [transfer] section, which is only allowed for engines, because
// plain services have no weights.
func (r *reader) transfer(kind BackendKind) Transfer {
	const section = "transfer"
	if kind == BackendPlain {
		if _, err := r.file.GetSection(section); err == nil {
			r.known[section] = append(r.known[section], r.file.Section(section).KeyStrings()...)
			r.addViolation(section, "", "section conflicts with kind = plain: plain services have no weights", "no [transfer] section with kind = plain")
		}
		return Transfer{}
	}
	return Transfer{
		Staging:      r.required(section, "staging", "a directory that the engine reads"),
		StagingBytes: r.bytes(section, "staging_bytes", defaultStagingBytes, minStagingBytes, maxStagingBytes),
		LinkRate:     r.rate(section, "link_rate", minLinkRate, maxLinkRate),
		UploadSlots:  r.integer(section, "upload_slots", 4, 0, maxUploadSlots),
	}
}
