package daemon

import (
	"testing"

	"github.com/matryer/is"

	"zinniapin/result"
)

func TestParseCommandLine(t *testing.T) {
	is := is.New(t)
	line, err := ParseCommandLine([]string{"--settings", "a.json", "--check"})
	is.NoErr(err)
	is.Equal(*line, CommandLine{Settings: "a.json", Check: true})
	line, err = ParseCommandLine([]string{"--help"})
	is.NoErr(err)
	is.True(line == nil)
	for _, wrong := range [][]string{nil, {"--check"}, {"--settings", "a.json", "--chek"}} {
		_, err = ParseCommandLine(wrong)
		is.Equal(result.CodeOf(err), result.BadUsage)
	}
}
