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

// Unit is the name of a unit and its stored record.
type Unit struct {
	Name   string // key of the record below Prefix
	Record Record
}

// Units reads the records of all units for operators, ordered by name.
// Errors are those of package store.
func Units(ctx context.Context, objects store.Store) ([]Unit, error) {
	return units(ctx, objects, store.PurposeStatus)
}

// units reads the records of all units, ordered by name.
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

// List returns the open orders of all units. Planning depends on it, so it reads
// with PurposeOrder, which has priority over reads for usage and status.
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

// maxReleaseTries is how often one Release attempts its update.
const maxReleaseTries = 4

// Release closes the open order of a unit at the request of an operator, who must
// make sure that its author will not send it any more.
func (x *Executor) Release(ctx context.Context, unit, operator string) error {
	found, err := readRecord(ctx, x.objects, unit)
	if err != nil {
		return result.Wrap(err, result.StoreUnavailable, "the record of %s could not be read", unit)
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
	return x.releaseError(ctx, unit, released, err)
}

// releaseError returns the error of Release after its update, which writes the
// record released, ended with err. A conflict is no error if the store holds that
// record.
func (x *Executor) releaseError(ctx context.Context, unit string, released Record, err error) error {
	switch callResultOf(err) {
	case CallConfirmed:
		return nil
	case CallUnknown:
		return result.Wrap(err, result.StoreUnknown, "releasing the order to %s", unit)
	case CallFailed:
		return result.Wrap(err, result.StoreUnavailable, "releasing the order to %s", unit)
	}
	found, readErr := readRecord(ctx, x.objects, unit)
	switch {
	case readErr != nil:
	case found.Record == released:
		return nil
	case found.Record.Open.ID != released.LastID && found.Record.LastID == released.LastID:
		return result.New(result.NoOpenOrder, "order %s to %s was closed meanwhile, as %s", released.LastID, unit, found.Record.closedAs())
	case found.Record.Open.ID != released.LastID:
		return result.New(result.NoOpenOrder, "order %s to %s was closed meanwhile", released.LastID, unit)
	}
	return result.Wrap(err, result.StoreConflict, "releasing the order to %s", unit)
}
