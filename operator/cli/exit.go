package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/config"
)

// Exit codes, as the help text of the root command lists them.
const (
	exitOther       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitNotFound    = 7
)

// usageError is a mistake on the command line.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// args turns a wrong number of arguments into a usage error.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, values []string) error {
		if err := check(cmd, values); err != nil {
			return &usageError{err}
		}
		return nil
	}
}

// ReportError prints an error for the operator and returns the exit code.
func ReportError(w io.Writer, err error) int {
	var usage *usageError
	var invalid *config.InvalidError
	var conflict *config.RevisionConflictError
	var unknown *config.UnknownOutcomeError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return report(w, exitUsage, "error: %v\n", err)
	case errors.As(err, &invalid):
		for _, f := range invalid.Violations {
			_, _ = fmt.Fprintln(w, f)
		}
		return report(w, exitInvalid, "error: invalid, %d faults\n", len(invalid.Violations))
	case errors.As(err, &conflict):
		for _, d := range conflict.Differences {
			_, _ = fmt.Fprintln(w, d)
		}
		return report(w, exitConflict, "error: conflict: expected revision %d, current is %d by %s (operation %s); the lines above lead from one to the other\n",
			conflict.Expected, conflict.Current.Number, conflict.Author, conflict.Operation)
	case errors.Is(err, config.ErrOperationReused):
		return report(w, exitConflict, "error: %v\n", err)
	case errors.As(err, &unknown):
		return report(w, exitUnknown, "error: outcome unknown; ask: auburnctl operation status %s\ncause: %v\n", unknown.Operation, unknown.Cause)
	case errors.Is(err, config.ErrRevisionNotFound):
		return report(w, exitNotFound, "error: %v\n", err)
	case errors.Is(err, config.ErrStoreUnavailable):
		return report(w, exitUnavailable, "error: %v\n", err)
	case isCobraUsage(err):
		return report(w, exitUsage, "error: %v\n", err)
	default:
		return report(w, exitOther, "error: %v\n", err)
	}
}

// isCobraUsage recognises the usage errors for which cobra has no type.
func isCobraUsage(err error) bool {
	return strings.HasPrefix(err.Error(), "unknown command ") || strings.HasPrefix(err.Error(), "required flag(s) ")
}

func report(w io.Writer, code int, format string, args ...any) int {
	_, _ = fmt.Fprintf(w, format, args...)
	return code
}
