package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/quota"
	"zinniapin/result"
)

// lookUp returns the value of a dotted name in a context, nil if there is none.
func lookUp(context any, name string) any {
	if name == "." {
		return context
	}
	for _, key := range strings.Split(name, ".") {
		object, _ := context.(map[string]any)
		context = object[key]
	}
	return context
}

// Parts of a template: a section, which begins with a mark and ends with the same name, and a value.
var (
	sectionStart = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}`)
	value        = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills a template with sections, inverted sections and values. Names within a section are looked up in its
// value first. zeroIsAbsent makes 0 count as absent, as some engines have it.
func render(template string, root, context any, zeroIsAbsent bool) string {
	if m := sectionStart.FindStringSubmatchIndex(template); m != nil {
		mark, name := template[m[2]:m[3]], template[m[4]:m[5]]
		body, rest, _ := strings.Cut(template[m[1]:], "{{/"+name+"}}")
		v := lookUp(root, name)
		present := v != nil && v != false && v != "" && (v != 0.0 || !zeroIsAbsent)
		switch {
		case mark == "^" && !present:
			body = render(body, root, context, zeroIsAbsent)
		case mark == "#" && present:
			body = render(body, root, v, zeroIsAbsent)
		default:
			body = ""
		}
		return render(template[:m[0]], root, context, zeroIsAbsent) + body + render(rest, root, context, zeroIsAbsent)
	}
	return value.ReplaceAllStringFunc(template, func(tag string) string {
		m := value.FindStringSubmatch(tag)
		v := lookUp(context, m[1])
		if v == nil {
			v = lookUp(root, m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
}

// deployment are the values of a deployment without limits of organisations.
const deployment = `{"NodeName": "h-1", "Zone": "z", "Region": "r", "Seeds": ["127.0.0.1:3"],
	"Listen": {"Front": "127.0.0.1:1", "Ready": "127.0.0.1:2", "Control": "127.0.0.1:3"},
	"Platform": {"Address": "127.0.0.1:4"}, "Cloud": {"Address": "127.0.0.1:5"}, "Limits": {"MaxFds": 4100, "MemoryMb": 256, "LinkMbps": 10.5},
	"Bounds": {"GraceS": 8, "LeaseMs": 1500, "RetryBudgetRatio": 0.2, "RetryBudgetSlack": 50, "BudgetWindowS": 10, "UsageWindowS": 2, "UsageLateS": 10}}`

// Guards against settings that are no JSON, or have other bounds, where a deployment leaves out some of them.
func TestNodeTemplateWithAndWithoutLimits(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../deploy/node.json.template")
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "node.json")
	for bounds, want := range map[string]quota.Bounds{
		`{}`:                    {Window: 8 * time.Second, Overage: 0.1},
		`{"QuotaWindowS": 2.5}`: {Window: 2500 * time.Millisecond, Overage: 0.1},
		`{"QuotaOverage": 0.2}`: {Window: 8 * time.Second, Overage: 0.2},
		`{"QuotaSlack": 7}`:     {Window: 8 * time.Second, Overage: 0.1, Slack: 7},
		`{"QuotaWindowS": 8, "QuotaOverage": 0.05, "QuotaSlack": 140000}`: {Window: 8 * time.Second, Overage: 0.05, Slack: 140000},
		`{"QuotaWindowS": 8, "QuotaOverage": 0.05, "QuotaSlack": 0}`:      {Window: 8 * time.Second, Overage: 0.05},
	} {
		for _, zeroIsAbsent := range []bool{true, false} {
			var values map[string]any
			is.NoErr(json.Unmarshal([]byte(deployment), &values))
			into, _ := values["Bounds"].(map[string]any)
			is.NoErr(json.Unmarshal([]byte(bounds), &into))
			is.NoErr(os.WriteFile(file, []byte(render(string(template), values, values, zeroIsAbsent)), 0o600))
			var n Node
			is.NoErr(Load(file, &n))
			is.Equal(n.Bounds.Limits(), want)
			is.Equal(n.Bounds.UsageLateSeconds, 10.0)
		}
	}
}

// Guards against bounds that are none, and against an overage of 0 that is taken for none.
func TestBoundsOfLimitsAreChecked(t *testing.T) {
	is := is.New(t)
	none, negative := 0.0, -0.1
	is.Equal((&NodeBounds{LimitOverage: &none}).Limits(), quota.Bounds{Window: 8 * time.Second})
	for path, b := range map[string]NodeBounds{
		"bounds.limit_window_seconds": {LimitWindowSeconds: -1},
		"bounds.limit_overage":        {LimitOverage: &negative},
		"bounds.limit_slack":          {LimitSlack: -1},
	} {
		for _, wrong := range []bool{false, true} {
			n, p := &Node{}, &Problems{}
			if wrong {
				n.Bounds = b
			}
			n.Check(p)
			is.Equal(strings.Contains(result.Of(p.Err("")).Message, path), wrong)
		}
	}
}
