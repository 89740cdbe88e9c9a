// Package event holds the numbered log events of zinniapin. Every log line
// carries the number and name of its event. docs/EVENTS.md lists them all.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Definition describes one numbered event.
type Definition struct {
	Number  int
	Name    string // stable identifier, snake_case
	Level   zerolog.Level
	Meaning string // what happened
	Action  string // what an operator should do, or "none"
}

// catalogue holds every defined event by number. Only define writes it, at package
// initialisation.
var catalogue = map[int]*Definition{}

// define adds an event to the catalogue and panics on a number used twice.
func define(number int, name string, level zerolog.Level, meaning, action string) *Definition {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event: number %d defined twice", number))
	}
	d := &Definition{number, name, level, meaning, action}
	catalogue[number] = d
	return d
}

// Log starts a log line for the event. The caller adds fields and ends the
// line with Send or Msg.
func (d *Definition) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(d.Level).Int("event", d.Number).Str("name", d.Name)
}

// All returns every definition in ascending order of number.
func All() []Definition {
	all := make([]Definition, 0, len(catalogue))
	for _, d := range catalogue {
		all = append(all, *d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
