package eventlog

//go:generate go run ../../cmd/internal/eventdoc -out ../../docs/events.md
