// Command docgen writes the pages of docs/ that are generated from tables in
// the code. Tests check that the pages are up to date.
package main

import (
	"fmt"
	"os"

	"zinniapin/event"
	"zinniapin/result"
)

// main writes every generated page, run from the root of the repository.
func main() {
	write("docs/RESULT-CODES.md", result.Page())
	write("docs/EVENTS.md", event.Page())
	page, err := settingsPage(".")
	if err != nil {
		fail(err)
	}
	write("docs/SETTINGS.md", page)
}

// fail ends the program.
func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// write writes one page and ends the program when it cannot.
func write(path, content string) {
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		fail(err)
	}
}
