package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// load loads stand-in settings from the text of a file.
func load(t *testing.T, text string) error {
	t.Helper()
	file := filepath.Join(t.TempDir(), "standin.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file, &Standin{})
}

func TestStandinNamesEveryMistake(t *testing.T) {
	is := is.New(t)
	err := load(t, `{"platform":{"address":"x","hosts":[{"id":"h","zone":"z","target":{"id":"t","kind":"k","class":"c","pool":"p","address":"127.0.0.1:1"}}]},"engines":[{"address":"127.0.0.1:1"}]}`)
	is.True(err != nil)
	for _, path := range []string{"platform.address", "platform.hosts[0].target.kind", "platform.hosts[0].target.class", "engines[0].id", "engines[0].models"} {
		is.True(strings.Contains(err.Error(), path)) // path named
	}
	is.True(load(t, `{}`) != nil)
	is.True(strings.Contains(load(t, `{"services":[{"addr":"127.0.0.1:1"}]}`).Error(), "services[0].addr"))
	is.NoErr(load(t, `{"services":[{"address":"127.0.0.1:1"}]}`))
}
