package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"zinniapin/result"
)

// TestProblems checks that valid values record nothing, and that every kind of
// mistake appears in the error.
func TestProblems(t *testing.T) {
	is := is.New(t)
	p := &Problems{}
	p.Required("host", "host-1")
	p.Address("listen", "127.0.0.1:80")
	p.Address("listen", "[::1]:80")
	p.URL("objects", "http://platform")
	p.URL("objects", "https://platform")
	is.NoErr(p.Err("a.json"))
	p.Required("host", "")
	p.Address("listen", "localhost:80")
	p.Address("links", "127.0.0.1")
	p.URL("objects", "platform")
	p.Add("gc_percent", "is %d", -1)
	err := p.Err("a.json")
	is.Equal(result.CodeOf(err), result.BadSettings)
	is.Equal(result.Of(err).Place, "a.json")
	is.Equal(result.Of(err).Message, `host: is missing; listen: "localhost:80" is not IP:port; links: "127.0.0.1" is not IP:port; objects: "platform" is not an http or https URL; gc_percent: is -1`)
}

// common is the part of a settings file that gateways and controllers share.
const common = `"host": "host-1", "zone": "riga-a", "region": "baltic", "operators": "127.0.0.1:1", ` +
	`"platform": {"objects": "http://a", "targets": "http://a", "usage": "http://a", "hosts": "http://a"}`

// TestLoad checks a valid file and the errors for files that are missing,
// malformed or contain mistakes.
func TestLoad(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "controller.json")
	load := func(content string) (*Controller, error) {
		is.NoErr(os.WriteFile(file, []byte(content), 0o600))
		s := &Controller{}
		return s, Load(file, s)
	}
	s, err := load(`{` + common + `, "tls": {"plaintext": true}, "links": "127.0.0.1:2", "seeds": ["127.0.0.1:2"]}`)
	is.NoErr(err)
	is.Equal(s.Log.Level, "info")
	is.Equal(s.Platform.TimeoutMillis, defaultPlatformTimeoutMillis)
	is.Equal(result.CodeOf(Load(file+".none", s)), result.BadSettings)
	for content, want := range map[string]string{
		`{"host": 1}`:   "",
		`{"hots": "a"}`: "",
		`{` + common + `, "links": "127.0.0.1:2", "seeds": ["127.0.0.1:2"]}`: "tls.certificate: is missing; tls.key: is missing; tls.authority: is missing",
		`{` + common + `, "links": "127.0.0.1:2", "seeds": ["127.0.0.1:2"],
			"tls": {"plaintext": true, "key": "a"}, "log": {"level": "loud"}, "operators_tls": {"key": "a"}}`: `operators_tls.certificate: is missing; log.level: "loud" is not debug, info, warn or error; tls.plaintext: excludes certificate, key and authority`,
	} {
		_, err := load(content)
		is.Equal(result.CodeOf(err), result.BadSettings)
		if want != "" {
			is.Equal(result.Of(err).Message, want)
		}
	}
}
