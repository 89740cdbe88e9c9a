package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// The HTTP client of package httpengine and the engine understand each other over a
// socket: requests, orders, refusals, lost answers, and a crash with a restart at the same
// address.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	o := Options{ID: "e", Models: []string{model}, ChecksFence: true, RoleChangeTime: time.Millisecond, DecodeRate: 1e6}
	s, err := Start("127.0.0.1:0", o)
	is.NoErr(err)
	defer s.Close()
	c := httpengine.New(httpengine.Options{})
	defer c.Close()
	at := target.Target{ID: "e", Address: s.Address()}
	answer := func(attempt string) (string, error) {
		stream, err := c.Generate(t.Context(), at, generateRequest(attempt, "p"))
		if err != nil {
			return "", err
		}
		defer stream.Close()
		text, _, _, err := readStream(stream, attempt, 0)
		return text, err
	}
	want, _ := Length(model, "p", 400)
	text, err := answer("1")
	is.NoErr(err)
	is.Equal(text, Text(model, "p", 0, want))
	is.NoErr(c.Send(t.Context(), at, roleOrder("o2", "x", 2, target.Mixed)))
	is.True(errors.Is(c.Send(t.Context(), at, roleOrder("o1", "y", 1, target.Decode)), target.ErrStaleFence))
	s.Engine.SetFaults(Faults{Refuse: 1})
	_, err = answer("2")
	is.True(errors.Is(err, target.ErrRefused))
	s.Engine.SetFaults(Faults{LoseOrderAnswers: 1})
	is.True(errors.Is(c.Send(t.Context(), at, roleOrder("o3", "x", 2, target.Mixed)), target.ErrIncomplete))
	before, err := c.Report(t.Context(), at)
	is.NoErr(err)
	is.Equal(before.LastOrder, "o3")
	s.Engine.SetFaults(Faults{CrashAfter: 2})
	_, err = answer("3")
	is.True(errors.Is(err, target.ErrIncomplete))
	_, err = answer("4")
	is.True(errors.Is(err, target.ErrNotSent)) // nothing listens
	is.NoErr(s.Restart())
	after, err := c.Report(t.Context(), at)
	is.NoErr(err)
	is.True(after.Boot != before.Boot)
	_, err = answer("5")
	is.NoErr(err)
	for _, r := range s.Engine.Records().HTTP {
		is.Equal(r.Header.Get("Authorization"), "")
		is.Equal(r.Header.Get("Idempotency-Key"), "")
	}
}

// TestCrashOnPrompt checks that the engine crashes each time it is about to answer a prompt with
// the text, starts again at its address and answers other prompts.
func TestCrashOnPrompt(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0", Options{ID: "e", Models: []string{model}, DecodeRate: 1e6})
	is.NoErr(err)
	defer s.Close()
	s.Engine.SetFaults(Faults{CrashOn: "fatal", RestartMillis: 1})
	c := httpengine.New(httpengine.Options{})
	defer c.Close()
	answer := func(attempt, prompt string) error {
		var stream target.Stream
		err := target.ErrNotSent
		for errors.Is(err, target.ErrNotSent) { // until it has started again
			stream, err = c.Generate(t.Context(), target.Target{ID: "e", Address: s.Address()}, generateRequest(attempt, prompt))
		}
		if err != nil {
			return err
		}
		defer stream.Close()
		_, _, _, err = readStream(stream, attempt, 0)
		return err
	}
	is.True(errors.Is(answer("1", "a fatal prompt"), target.ErrIncomplete))
	is.True(errors.Is(answer("2", "a fatal prompt"), target.ErrIncomplete))
	is.NoErr(answer("3", "another"))
}
