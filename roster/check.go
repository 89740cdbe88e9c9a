package roster

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"zinniapin/target"
)

const (
	// maxNameBytes bounds names, which go into headers, digests of hosts and labels of metrics.
	maxNameBytes = 255
	// maxSlots is more requests than a target can process at a time.
	maxSlots = 1 << 20
	// maxStartedMillis is the largest whole number that all encodings of numbers hold exactly.
	maxStartedMillis = 1 << 53
	// shownBytes is how much of an odd text an error shows.
	shownBytes = 60
)

// Check returns what about a target cannot be, if anything; such a target is none to use. An entry that
// the store lists, and one that a peer passes on, must pass it.
func (t *Target) Check() error {
	for _, name := range []struct{ of, text string }{
		{"name", string(t.ID)}, {"service", t.Service}, {"zone", string(t.Zone)}, {"version", t.Version},
	} {
		if name.text == "" && name.of == "version" {
			continue
		}
		if err := checkName(name.text); err != nil {
			return fmt.Errorf("the %s %.*q %w", name.of, shownBytes, name.text, err)
		}
	}
	if err := target.CheckAddress(t.Address); err != nil {
		return fmt.Errorf("the address %.*q %w", shownBytes, t.Address, err)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return fmt.Errorf("%d slots are none that a target can have", t.Slots)
	}
	if t.StartedMillis < 0 || t.StartedMillis > maxStartedMillis {
		return fmt.Errorf("%d is no time of a start", t.StartedMillis)
	}
	if t.LeavesMillis < 0 || t.LeavesMillis > MaxLeavesMillis {
		return fmt.Errorf("%d ms are no time until a target ends", t.LeavesMillis)
	}
	switch t.Role {
	case "", target.Prefill, target.Decode:
		return nil
	default:
		return fmt.Errorf("the role %.*q is unknown", shownBytes, t.Role)
	}
}

// checkName returns what is wrong with a name.
func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("is empty")
	case len(name) > maxNameBytes:
		return fmt.Errorf("has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, odd):
		return errors.New("holds what is no text")
	default:
		return nil
	}
}

// odd tells whether a rune cannot be part of a name.
func odd(r rune) bool { return !unicode.IsPrint(r) || r == utf8.RuneError }
