package rawjson_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"zinniapin/rawjson"
)

// members returns the members of an object.
func members(data []byte) (map[string]string, error) {
	all := make(map[string]string)
	return all, rawjson.Members(data, func(name string, value []byte) { all[name] = string(value) })
}

func TestPartsAreSplit(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 500_000) + "1" + strings.Repeat("}]", 500_000)
	got, err := members([]byte(` {"a" : ` + deep + `,"b\u0020\"}":"}]\\\"," , "c":1e400,"d":{},"":%PDF} `))
	want := map[string]string{"a": deep, `b "}`: `"}]\\\","`, "c": "1e400", "d": "{}", "": "%PDF"}
	if err != nil || len(got) != len(want) {
		t.Fatal(len(got), err)
	}
	for name, value := range want {
		if got[name] != value {
			t.Errorf("%q: %.60q, want %.60q", name, got[name], value)
		}
	}
	var elements []string
	if err := rawjson.Elements([]byte("[ null,[1, 2] ,\"\xff\"]"), func(v []byte) { elements = append(elements, string(v)) }); err != nil || strings.Join(elements, "|") != "null|[1, 2]|\"\xff\"" {
		t.Error(elements, err)
	}
	for _, text := range []string{"", "{", "[]", "null", `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":1`, `{"a":[}`, `{"a":1}x`, `{a:1}`, `{"a":1 2}`} {
		if _, err := members([]byte(text)); err == nil {
			t.Errorf("%s is split", text)
		}
	}
}

// What encoding/json reads is split into the same parts.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"}"}],"c":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := members(data)
		_ = rawjson.Elements(data, func([]byte) {})
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) != nil || bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("null")) {
			return
		}
		if err != nil || len(got) != len(want) {
			t.Fatalf("%d members, want %d: %v", len(got), len(want), err)
		}
		for name, value := range want {
			if got[name] != string(value) {
				t.Fatalf("%q: %q, want %q", name, got[name], value)
			}
		}
	})
}
