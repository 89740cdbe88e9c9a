// Command zinnia-bench prints how the routing, placement and spending policies
// compare with simpler ones.
package main

import (
	"os"

	"zinniapin/internal/policybench"
)

func main() {
	policybench.Print(os.Stdout)
}
