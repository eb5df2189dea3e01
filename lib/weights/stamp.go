package weights

// Stamp identifies one state of a chunk in a Storage. Two equal stamps mean that nobody
// has written to the chunk in between. The times of a file system advance in steps of a
// few milliseconds, so writes within such a step of each other may share a stamp.
type Stamp struct {
	Inode uint64
	// Size is in bytes.
	Size int64
	// ChangedAt is the time of the last change of the file's data or attributes, in
	// nanoseconds. Unlike the time of modification, no program can set it.
	ChangedAt int64
}
