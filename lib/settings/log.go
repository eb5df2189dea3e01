package settings

// LogFormat is the encoding of log lines.
type LogFormat string

const (
	// LogLogfmt writes lines of key=value pairs.
	LogLogfmt LogFormat = "logfmt"
	// LogJSON writes one JSON object per line.
	LogJSON LogFormat = "json"
)

// Log holds the level and format of the log.
type Log struct {
	// Level is the lowest level that is logged: info, warn or error.
	Level  string
	Format LogFormat
}

func (r *reader) log() Log {
	return Log{
		Level:  r.enum("log", "level", "info", "info", "warn", "error"),
		Format: LogFormat(r.enum("log", "format", string(LogLogfmt), string(LogLogfmt), string(LogJSON))),
	}
}
