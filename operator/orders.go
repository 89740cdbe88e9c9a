package operator

import (
	"context"
	"time"

	"zinniapin/authority"
	"zinniapin/store"
)

// topicOrders shows the open orders of all units and what was released last.
const topicOrders = "orders"

// States of a unit in status orders.
const (
	orderOpen     = "open"     // its author may yet send it
	orderEnded    = "ended"    // its author never sends it again
	orderReleased = "released" // the last order was released by an operator
)

// orderRow is a row of status orders.
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

// orderRows returns the units that have an open order or whose last order was
// released.
func orderRows(units []authority.Unit) []orderRow {
	rows := []orderRow{}
	for _, u := range units {
		if row, shown := orderRowOf(u); shown {
			rows = append(rows, row)
		}
	}
	return rows
}

// orderRowOf returns the row of a unit, if it is shown.
func orderRowOf(u authority.Unit) (orderRow, bool) {
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

// table returns the table of orders as of a time.
func (a *app) orderTable(rows []orderRow) *table {
	t := &table{header: []string{"unit", "state", "author", "open for", "order", "epoch", "content", "released by"}}
	for _, r := range rows {
		t.add(r.Unit, r.State, r.Author, a.openFor(r), r.Order, r.Epoch, r.Payload, r.ReleasedBy)
	}
	return t
}

// openFor tells for how long an order is open, by the author's clock.
func (a *app) openFor(r orderRow) string {
	if r.OpenedMS == 0 {
		return ""
	}
	return a.now().Sub(time.UnixMilli(r.OpenedMS)).Round(time.Second).String()
}

// orders shows the orders.
func (c *statusCommand) orders(ctx context.Context, b *Backend) error {
	units, err := authority.Units(ctx, b.Store)
	if err != nil {
		return store.Describe(err)
	}
	rows := orderRows(units)
	return c.app.print(rows, c.app.orderTable(rows))
}
