package settings

import (
	"os"

	"github.com/ansel1/merry/v2"
)

// LoadEntry reads the settings file of an entry daemon.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings file")
	}
	return ParseEntry(path, string(text))
}

// LoadAgent reads the settings file of an agent daemon.
func LoadAgent(path string) (*Agent, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings file")
	}
	return ParseAgent(path, string(text))
}
