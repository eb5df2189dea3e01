package eventlog

// severity orders levels; a higher number is more severe. Unknown levels count
// as the least severe, so that a wrong filter drops nothing.
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
