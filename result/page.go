package result

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/RESULT-CODES.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Generated from the table in package `result` by `make docs`.\n\n")
	b.WriteString("Every refusal of the gateway and every failure of a command carries one of these codes. ")
	b.WriteString("`HTTP` is the status towards callers, `exit` the exit code of a command.\n\n")
	b.WriteString("| code | name | HTTP | exit | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, d := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %d | %s | %s |\n", d.Code, d.Name, d.Status, d.Exit, d.Meaning, d.Action)
	}
	return b.String()
}
