package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// table is output for people.
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

// print prints value as JSON with --json, and else the table.
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
