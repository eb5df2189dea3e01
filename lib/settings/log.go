package settings

// LogFormat is the encoding of log lines.
type LogFormat string

const (
	// LogLogfmt writes key=value lines.
	LogLogfmt LogFormat = "logfmt"
	// LogJSON writes one JSON object on each line.
	LogJSON LogFormat = "json"
)

// Log holds what is logged and how.
type Log struct {
	// Level is the least severe level that is written: info, warn or error.
	Level  string
	Format LogFormat
}

func (r *reader) log() Log {
	return Log{
		Level:  r.choice("log", "level", "info", "info", "warn", "error"),
		Format: LogFormat(r.choice("log", "format", string(LogLogfmt), string(LogLogfmt), string(LogJSON))),
	}
}
