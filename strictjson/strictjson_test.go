package strictjson

import (
	"testing"

	"github.com/matryer/is"

	"zinniapin/result"
)

// sample is a struct with nested structs, an array and a map.
type sample struct {
	Name   string            `json:"name"`
	Nested *nested           `json:"nested"`
	Many   []nested          `json:"many"`
	Named  map[string]nested `json:"named"`
}

// nested is the struct nested in sample.
type nested struct {
	Count int `json:"count"`
}

func TestDecodeNamesThePlace(t *testing.T) {
	cases := []struct {
		name, input, place string
	}{
		{"unknown", `{"title":"x"}`, "title"},
		{"unknown nested", `{"nested":{"cuont":1}}`, "nested.cuont"},
		{"unknown in array", `{"many":[{"count":1},{"x":1}]}`, "many[1].x"},
		{"unknown in map", `{"named":{"a":{"x":1}}}`, "named.a.x"},
		{"two unknown", `{"b":1,"a":1}`, "a, b"},
		{"wrong type", `{"nested":{"count":"one"}}`, "nested.count"},
		{"syntax", "{\n \"name\": x}", "line 2 column 10"},
		{"more data", `{} {}`, "line 1 column 4"},
		{"cut short", `{"name":`, "line 1 column 8"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode([]byte(c.input), &sample{}, result.BadSettings)
			is.Equal(result.CodeOf(err), result.BadSettings)
			is.Equal(result.Of(err).Place, c.place)
		})
	}
}

func TestDecodeTakesValidInput(t *testing.T) {
	is := is.New(t)
	var s sample
	err := Decode([]byte(`{"name":"a","nested":{"count":2},"many":[{"count":3}]}`), &s, result.BadSettings)
	is.NoErr(err)
	is.Equal(s.Nested.Count, 2)
	is.Equal(s.Many[0].Count, 3)
}

// FuzzDecode checks that Decode does not panic, whatever the input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a"}`))
	f.Add([]byte(`{"many":[1,{"x":[]}],"nested":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		_ = Decode(data, &s, result.BadSettings)
	})
}
