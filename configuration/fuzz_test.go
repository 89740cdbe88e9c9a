package configuration

import "testing"

// FuzzBundle checks that no root object makes Missing, NewBundle or Snapshot panic.
func FuzzBundle(f *testing.F) {
	f.Add([]byte(`{"revision":1,"fleet":"a","buckets":[{"number":1,"part":"b"}]}`))
	f.Add([]byte(`{"buckets":null}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(_ *testing.T, root []byte) {
		missing, err := Missing(root, nil)
		if err != nil {
			return
		}
		parts := map[Digest][]byte{}
		for _, d := range missing {
			parts[d] = []byte(d)
		}
		if b, err := NewBundle(root, parts); err == nil {
			_, _ = b.Snapshot()
		}
	})
}
