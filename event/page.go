package event

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Generated from the catalogue in package `event` by `make docs`.\n\n")
	b.WriteString("Log lines are JSON. Each carries `event` (the number) and `name`.\n\n")
	b.WriteString("| event | name | level | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, d := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", d.Number, d.Name, d.Level, d.Meaning, d.Action)
	}
	return b.String()
}
