package authority

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/store"
)

// Unit is the record of one unit as the object API holds it.
type Unit struct {
	Name   string // key of the record below Prefix
	Record Record
}

// Units reads the records of all units, in order of name, for operators.
// Errors are those of package store.
func Units(ctx context.Context, objects store.Store) ([]Unit, error) {
	return units(ctx, objects, store.PurposeStatus)
}

// units reads the records of all units, in order of name.
func units(ctx context.Context, objects store.Store, purpose store.Purpose) ([]Unit, error) {
	found, err := objects.List(ctx, purpose, Prefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	all := make([]Unit, 0, len(found))
	for _, object := range found {
		record, err := decodeRecord(object.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, Unit{strings.TrimPrefix(object.Key, Prefix), record})
	}
	return all, nil
}

// List returns the open orders of all units. Planning rests on it, so it goes
// before calls for usage and status.
func (x *Executor) List(ctx context.Context) ([]OpenOrder, error) {
	all, err := units(ctx, x.objects, store.PurposeOrder)
	if err != nil {
		return nil, err
	}
	var open []OpenOrder
	for _, u := range all {
		if u.Record.Open.ID == "" {
			continue
		}
		opened := time.UnixMilli(u.Record.Open.OpenedMillis).UTC()
		open = append(open, OpenOrder{Unit: u.Name, Order: u.Record.Open, Opened: opened})
	}
	return open, nil
}

// maxReleaseTries bounds the updates of one Release.
const maxReleaseTries = 4

// Release closes the open order of a unit on the word of an operator, who
// vouches that its author will not send it any more.
func (x *Executor) Release(ctx context.Context, unit, operator string) error {
	found, err := readRecord(ctx, x.objects, unit)
	if err != nil {
		return result.Wrap(err, result.StoreUnavailable, "the record of %s was not read", unit)
	}
	open := found.Record.Open
	if open.ID == "" {
		return result.New(result.NoOpenOrder, "no order to %s is open", unit)
	}
	released := found.Record.closed(Released)
	released.ReleasedBy = operator
	value, err := released.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	event.OrderReleased.Log(x.options.Log).Str("unit", unit).Str("order", open.ID).
		Str("author", open.Author).Str("operator", operator).Send()
	for range maxReleaseTries {
		_, err = x.objects.Put(ctx, store.PurposeOrder, Prefix+unit, value, found.Version)
		if !errors.Is(err, store.ErrUnknown) {
			break
		}
	}
	return x.releaseError(ctx, unit, open, err)
}

// releaseError explains the end of the update that releases an order.
func (x *Executor) releaseError(ctx context.Context, unit string, open Order, err error) error {
	switch answerOf(err) {
	case CallConfirmed:
		return nil
	case CallUnknown:
		return result.Wrap(err, result.StoreUnknown, "release of %s", unit)
	case CallFailed:
		return result.Wrap(err, result.StoreUnavailable, "release of %s", unit)
	}
	found, readErr := readRecord(ctx, x.objects, unit)
	if readErr == nil && found.Record.Open.ID != open.ID {
		return nil // closed, by us or by its author
	}
	return result.Wrap(err, result.StoreConflict, "release of %s", unit)
}
