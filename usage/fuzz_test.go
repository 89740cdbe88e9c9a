package usage

import (
	"bytes"
	"testing"
)

// FuzzDecodeWindow checks that no stored value makes the decoder panic, and that a
// window that it accepts is the same after it is encoded and decoded again.
func FuzzDecodeWindow(f *testing.F) {
	w := newWindow(60)
	w.merge(counterID{"gateway", "org", 60}, Amount{Requests: 3, PromptTokens: 70}, Amount{})
	w.merge(counterID{"gateway", "late", 0}, Amount{Calls: 2}, Amount{Calls: 1})
	f.Add(w.encode())
	f.Add([]byte{})
	f.Add([]byte{formatVersion, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, value []byte) {
		found, err := decodeWindow(value)
		if err != nil {
			return
		}
		again, err := decodeWindow(found.encode())
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(found.encode(), again.encode()) {
			t.Fatal("a window changes when it is encoded and decoded again")
		}
	})
}
