package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/result"
)

// table is output for people, printed in aligned columns.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print prints value as JSON with --json or if there is no table, and else the table.
func (a *app) print(value any, t *table) error {
	if a.options.JSON || t == nil {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return trace.Wrap(w.Flush())
}

// printJSON prints a value as indented JSON.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// failure is an error as --json prints it on standard error.
type failure struct {
	Code        int                    `json:"code"`
	Name        string                 `json:"name"`
	Message     string                 `json:"message"`
	Place       string                 `json:"place,omitempty"`
	RetryMS     int64                  `json:"retry_after_ms,omitempty"`
	Winners     []configuration.Change `json:"winners,omitempty"`
	Changed     []changedField         `json:"moved,omitempty"`
	Differences []difference           `json:"differences,omitempty"`
}

// printFailure prints an error as JSON, as described by failure.
func printFailure(err error, errOut io.Writer) {
	f := failure{Code: int(result.CodeOf(err)), Name: result.CodeOf(err).String(), Message: err.Error()}
	if e := result.Of(err); e != nil {
		f.Place = e.Place
		f.RetryMS = e.RetryAfter.Milliseconds()
	}
	var lost *conflictError
	if errors.As(err, &lost) {
		f.Winners, f.Changed, f.Differences = lost.winners, lost.changed, lost.differences
	}
	encoder := json.NewEncoder(errOut)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(f) // a failed write to standard error cannot be reported
}

// maxNamesShown is the largest number of names in one cell of a table.
const maxNamesShown = 4

// summarise returns the first names of a list and how many more there are.
func summarise(names []string) string {
	if len(names) <= maxNamesShown {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesShown], " "), len(names)-maxNamesShown)
}

// formatValue formats a value of a JSON document for people. Nil is a field that is not
// set and has its default.
func formatValue(value any) string {
	if value == nil {
		return "not set"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
