// Command docgen writes the pages of docs/ that are generated from texts in the code. Tests
// check that the pages are up to date. It also checks the names in docs/FREEDOMS.md.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"zinniapin/event"
	"zinniapin/result"
)

// main writes every generated page. It must run in the root of the repository.
func main() {
	writePage("docs/RESULT-CODES.md", result.Page())
	writePage("docs/EVENTS.md", event.Page())
	page, err := settingsPage(".")
	if err != nil {
		exitWith(err)
	}
	writePage("docs/SETTINGS.md", page)
	reportFreedoms(".")
}

// reportFreedoms prints what is wrong in docs/FREEDOMS.md and how many of its cells are open, by column.
// It exits if anything is wrong.
func reportFreedoms(root string) {
	rows, mistakes, err := checkFreedoms(root)
	if err != nil {
		exitWith(err)
	}
	if len(mistakes) > 0 {
		exitWith(errors.New(strings.Join(mistakes, "\n")))
	}
	open := make(map[string]int)
	for i := range rows {
		for _, column := range rows[i].openColumns() {
			open[column]++
		}
	}
	fmt.Printf("%s: %d rows; open: %d answers, %d switches, %d tests, %d not drawn\n", freedomsPage,
		len(rows), open["answered by"], open["switch"], open["test"], open["soak"])
}

// exitWith prints an error and exits with status 1.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// writePage writes one page and exits if it fails.
func writePage(path, content string) {
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		exitWith(err)
	}
}
