package operator

import (
	"context"
	"time"

	"zinniapin/authority"
	"zinniapin/store"
)

// topicOrders is the status topic of open and released orders. An order is a command that
// a controller sends to an engine or to the platform. Each unit, such as an engine, has at
// most one open order. The process that gave it is its author; see package authority.
const topicOrders = "orders"

// States of a unit's order in the output of the command "status orders".
const (
	orderOpen     = "open"     // its author may still send it
	orderEnded    = "ended"    // its author will not send it again
	orderReleased = "released" // an operator released the last order
)

// orderRow is a row of what the command "status orders" prints.
type orderRow struct {
	Unit       string `json:"unit"`
	State      string `json:"state"`
	Order      string `json:"order"`
	Author     string `json:"author,omitempty"`
	Epoch      uint64 `json:"epoch"`
	Payload    string `json:"payload,omitempty"`
	OpenedMS   int64  `json:"opened_ms,omitempty"` // Unix time by the author's clock
	ReleasedBy string `json:"released_by,omitempty"`
}

// orderRows returns the rows of the units that have an open order or whose last order was
// released.
func orderRows(units []authority.Unit) []orderRow {
	rows := []orderRow{}
	for _, u := range units {
		if row, shown := newOrderRow(u); shown {
			rows = append(rows, row)
		}
	}
	return rows
}

// newOrderRow returns the row of a unit, and whether the command "status orders" shows it.
func newOrderRow(u authority.Unit) (orderRow, bool) {
	open := u.Record.Open
	if open.ID == "" {
		row := orderRow{Unit: u.Name, State: orderReleased, Order: u.Record.LastID, Epoch: u.Record.Epoch, ReleasedBy: u.Record.ReleasedBy}
		return row, u.Record.LastOutcome == authority.Released
	}
	row := orderRow{
		Unit: u.Name, State: orderOpen, Order: open.ID, Author: open.Author,
		Epoch: open.Epoch, Payload: open.Payload, OpenedMS: open.OpenedMillis,
	}
	if open.Ended {
		row.State = orderEnded
	}
	return row, true
}

// orderTable returns the table of orders for people.
func (a *app) orderTable(rows []orderRow) *table {
	t := &table{header: []string{"unit", "state", "author", "open for", "order", "epoch", "content", "released by"}}
	for _, r := range rows {
		t.add(r.Unit, r.State, r.Author, a.openDuration(r), r.Order, r.Epoch, r.Payload, r.ReleasedBy)
	}
	return t
}

// openDuration returns for how long an order has been open. The order was opened by its
// author's clock, so the difference of the clocks is included. It is empty if that time
// is not known.
func (a *app) openDuration(r orderRow) string {
	if r.OpenedMS == 0 {
		return ""
	}
	return a.now().Sub(time.UnixMilli(r.OpenedMS)).Round(time.Second).String()
}

// orders shows open and released orders, as read from the object API.
func (c *statusCommand) orders(ctx context.Context, b *Backend) error {
	units, err := authority.Units(ctx, b.Store)
	if err != nil {
		return store.Describe(err)
	}
	rows := orderRows(units)
	return c.app.print(rows, c.app.orderTable(rows))
}
