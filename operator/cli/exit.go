package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/config"
)

// Exit codes. The help text of the root command lists them.
const (
	exitOther       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitNotFound    = 7
)

// usageError is an error in the arguments or flags of a command.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// usagef returns a usageError with a formatted message.
func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// usageArgs makes check return a usageError.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, values []string) error {
		if err := check(cmd, values); err != nil {
			return &usageError{err}
		}
		return nil
	}
}

// ReportError prints err to w and returns the exit code, which is 0 if err is nil.
func ReportError(w io.Writer, err error) int {
	var usage *usageError
	var invalid *config.InvalidError
	var conflict *config.RevisionConflictError
	var unknown *config.UnknownOutcomeError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return printError(w, exitUsage, "error: %v\n", err)
	case errors.As(err, &invalid):
		for _, v := range invalid.Violations {
			_, _ = fmt.Fprintln(w, v)
		}
		return printError(w, exitInvalid, "error: invalid configuration, %d violations\n", len(invalid.Violations))
	case errors.As(err, &conflict):
		for _, d := range conflict.Differences {
			_, _ = fmt.Fprintln(w, d)
		}
		return printError(w, exitConflict, "error: conflict: expected revision %d, current is %d by %s (operation %s); the lines above are the differences between them\n",
			conflict.Expected, conflict.Current.Number, conflict.Author, conflict.Operation)
	case errors.Is(err, config.ErrOperationReused):
		return printError(w, exitConflict, "error: %v\n", err)
	case errors.As(err, &unknown):
		return printError(w, exitUnknown, "error: outcome unknown; to find it out, run: auburnctl operation status %s\ncause: %v\n", unknown.Operation, unknown.Cause)
	case errors.Is(err, config.ErrRevisionNotFound):
		return printError(w, exitNotFound, "error: %v\n", err)
	case errors.Is(err, config.ErrStoreUnavailable):
		return printError(w, exitUnavailable, "error: %v\n", err)
	case isCobraUsage(err):
		return printError(w, exitUsage, "error: %v\n", err)
	default:
		return printError(w, exitOther, "error: %v\n", err)
	}
}

// isCobraUsage reports whether err is one of the usage errors for which cobra has no
// type.
func isCobraUsage(err error) bool {
	return strings.HasPrefix(err.Error(), "unknown command ") || strings.HasPrefix(err.Error(), "required flag(s) ")
}

// printError prints an error message to w and returns code.
func printError(w io.Writer, code int, format string, args ...any) int {
	_, _ = fmt.Fprintf(w, format, args...)
	return code
}
