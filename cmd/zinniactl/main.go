// Command zinniactl is the command line tool of operators; see package operator.
package main

import (
	"os"

	"zinniapin/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, operator.Dial))
}
