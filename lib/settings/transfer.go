package settings

const (
	// defaultStaging holds the weights of a small model.
	defaultStaging = 64 * GiB
	minStaging     = 4 * MiB // one chunk
	maxStaging     = 64 * TiB
	minLink        = 100 * Kbit
	maxLink        = 800 * Gbit
	maxUploadSlots = 64
)

// Transfer holds what an agent may use for the distribution of weights.
type Transfer struct {
	// Staging is the directory from which the engine loads.
	Staging string
	// StagingBytes bounds the bytes in Staging.
	StagingBytes Bytes
	// LinkRate is the instance's link rate.
	LinkRate Rate
	// UploadSlots is the number of chunks that are sent to peers at once.
	UploadSlots int
}

// transfer reads the section of engines; plain services hold no weights.
func (r *reader) transfer(kind BackendKind) Transfer {
	const section = "transfer"
	if kind == BackendPlain {
		if _, err := r.file.GetSection(section); err == nil {
			r.known[section] = append(r.known[section], r.file.Section(section).KeyStrings()...)
			r.fault(section, "", "section conflicts with kind = plain: plain services hold no weights", "no [transfer] section with kind = plain")
		}
		return Transfer{}
	}
	return Transfer{
		Staging:      r.required(section, "staging", "a directory that the engine reads"),
		StagingBytes: r.bytes(section, "staging_bytes", defaultStaging, minStaging, maxStaging),
		LinkRate:     r.rate(section, "link_rate", minLink, maxLink),
		UploadSlots:  r.number(section, "upload_slots", 4, 0, maxUploadSlots),
	}
}
