package watch

import "context"

type progressKey struct{}

// WithProgress returns a context for a call to a Source that calls progress whenever data of
// the answer arrives. A large answer takes seconds on a slow link.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// NoteProgress reports that data of the answer to a call has arrived.
func NoteProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}
