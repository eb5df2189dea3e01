package eventlog

// severity returns the rank of a level; higher is more severe. Unknown levels
// rank lowest, so that an invalid minimum level drops no events.
func (l Level) severity() int {
	switch l {
	case Error:
		return 2
	case Warn:
		return 1
	default:
		return 0
	}
}
