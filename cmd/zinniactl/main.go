// Command zinniactl is the operators' command.
package main

import (
	"os"

	"zinniapin/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, operator.Dial))
}
