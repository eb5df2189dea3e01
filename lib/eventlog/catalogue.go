package eventlog

import "slices"

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := slices.Concat(processEvents, configEvents, weightEvents, requestEvents, memberEvents, platformEvents, servingEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
