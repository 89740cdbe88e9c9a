package prepared

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// OddEntry is an entry of another writer that names no target to use. Item is for WriteItem.
type OddEntry struct{ Oddity, Item string }

const (
	// oddDepth is more levels than encoding/json reads.
	oddDepth = 20_000
	// oddLength is the size of a string that is too long to be a name.
	oddLength = 1 << 18
)

// OddEntries returns odd entries, each a sound one but for its oddity.
func OddEntries(sound map[string]any) []OddEntry {
	const metadata = `"Metadata":{"Name":"NAME","Revision":REVISION}`
	spec := encodeSpec(sound)
	deepObject := strings.Repeat(`{"a":`, oddDepth) + "1" + strings.Repeat("}", oddDepth)
	deepArray := strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)
	whole := func(value string) string { return "{" + metadata + `,"Spec":` + value + "}" }
	extra := func(text string) string { return whole(strings.TrimSuffix(spec, "}") + "," + text + "}") }
	all := []OddEntry{
		{"deep object", extra(`"X":` + deepObject)},
		{"deep array", whole(deepArray)},
		{"deep status", "{" + metadata + `,"Spec":` + spec + `,"Status":` + deepArray + "}"},
		{"deep metadata", `{"Metadata":{"Finalizers":` + deepArray + `,"Name":"NAME","Revision":REVISION},"Spec":` + spec + "}"},
		{"odd finalizers", `{"Metadata":{"Name":"NAME","Revision":REVISION,"Finalizers":7},"Spec":` + spec + "}"},
		{"odd revision", `{"Metadata":{"Name":"NAME","Revision":1e400},"Spec":` + spec + "}"},
		{"no spec", "{" + metadata + "}"},
		{"text", whole(`"\u0000%PDF"`)},
		{"two addresses", extra(`"Address":"127.0.0.1:1"`)},
		{"bytes that are no text", extra("\"Zone\":\"\xff\xfe\"")},
	}
	for field, values := range map[string][]any{
		"Slots":      {json.Number("1e400"), json.Number("99999999999999999999"), -1, 1.5, 0, "8", nil},
		"Seq":        {json.Number("1e400"), json.Number("99999999999999999999"), -1, 1.5, "x", []int{1}},
		"ColdLeftMs": {json.Number("1e400"), "x"},
		"born":       {json.Number("1e400"), json.Number("99999999999999999999"), -1, 1.5, "x"},
		"Service":    {"", nil, 7, "a\r\nb", strings.Repeat("s", oddLength)},
		"Zone":       {"", nil, 7, "a\nb", strings.Repeat("z", oddLength)},
		"Version":    {7, strings.Repeat("v", oddLength)},
		"State":      {"starting", nil, 1},
		"Stage":      {"scoring", 1},
		"Spot":       {"yes"},
		"Address": {
			"", nil, 7, "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1",
			"127.0.0.1:http", "localhost:80", "nowhere.invalid:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "255.255.255.255:80", ":80",
			"127.0.0.1:80\r\nX-Odd: 1", strings.Repeat("1", oddLength) + ":80",
		},
	} {
		for _, v := range values {
			odd := make(map[string]any, len(sound))
			for k, s := range sound {
				odd[k] = s
			}
			odd[field] = v
			text := fmt.Sprintf("%s %#v", field, v)
			all = append(all, OddEntry{text[:min(len(text), 60)], whole(encodeSpec(odd))})
		}
	}
	slices.SortFunc(all, func(a, b OddEntry) int { return strings.Compare(a.Oddity, b.Oddity) })
	return all
}

// encodeSpec returns an entry as JSON.
func encodeSpec(entry map[string]any) string {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // all values above can be encoded
	}
	return string(data)
}
