package node

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/duty"
	"zinniapin/metering"
	"zinniapin/settings"
	"zinniapin/store"
)

// lateStore is a store with one member that leaves writes without an answer and carries them out late, if their condition
// holds then.
type lateStore struct {
	oneMember
	lose bool     // the next writes get no answer
	late []func() // writes to be carried out
}

func (s *lateStore) Replace(ctx context.Context, collection, name string, revision uint64, value []byte) (store.Member, error) {
	if !s.lose {
		return s.oneMember.Replace(ctx, collection, name, revision, value)
	}
	s.late = append(s.late, func() { _, _ = s.oneMember.Replace(ctx, collection, name, revision, value) }) // nobody gets the answer
	return store.Member{}, store.ErrUnknown
}

// carryOut carries out the late writes in the order in which they were made.
func (s *lateStore) carryOut() {
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// readHook is a store that calls a function before each read.
type readHook struct {
	*lateStore
	before func()
}

func (s readHook) Get(ctx context.Context, collection, name string) (store.Member, error) {
	s.before()
	return s.oneMember.Get(ctx, collection, name)
}

// newHolder returns the duty runner of a node that holds the duties by the record in a store.
func newHolder(t *testing.T, objects store.Collections, s *lateStore) *dutyRunner {
	t.Helper()
	log := zerolog.New(io.Discard)
	n := New(settings.Node{Host: "h1", Bounds: settings.NodeBounds{UsageWindowSeconds: 2, FencesChecked: true}}, Platform{Objects: objects}, NewOutput(io.Discard), &log)
	r := n.duties
	r.record, r.revision = duty.Record{Holder: "h1", Incarnation: n.self.Incarnation, Fence: 3}, 5
	r.setHolding(true)
	value, err := json.Marshal(r.record)
	if err != nil {
		t.Fatal(err)
	}
	s.value, s.revision = string(value), r.revision
	return r
}

// Guards against two reports of one usage window with different counts (ONE): a holder froze a window twice with no answer,
// took the record of the first write for that of the second, and reported counts that its successor did not find there.
func TestFrozenCountsAreThoseInTheStore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &lateStore{lose: true}
	carryOutBeforeReads := false
	r := newHolder(t, readHook{s, func() {
		if carryOutBeforeReads {
			s.carryOut()
		}
	}}, s)
	const window = metering.Window(40)
	count := func(host string, requests uint32) {
		r.node.ledger.Merge(metering.Process{Host: host}, window, metering.Counts{"parents": requests})
	}
	count("h2", 3)
	_, ok := r.freezeWindow(ctx, window)
	is.True(!ok) // the store still shows the record without the window
	is.True(r.confirmHolding(ctx, time.Now()))
	count("h3", 4) // a host that stood still sends its counts
	carryOutBeforeReads = true
	counts, ok := r.freezeWindow(ctx, window)
	if ok {
		t.Errorf("counts %v count as frozen, the store has %s", counts, s.value)
	}
	s.lose = false
	is.True(r.confirmHolding(ctx, time.Now()))
	counts, ok = r.freezeWindow(ctx, window)
	is.True(ok)
	is.Equal(counts, map[string]uint32{"parents": 3})
}

// Guards against taking another write's record for one's own: the stored record has to agree with the one that was written
// in each field.
func TestLostWriteCountsOnlyIfTheWholeRecordIsStored(t *testing.T) {
	written := func(r *dutyRunner) duty.Record {
		record := r.record
		record.DueFrom = 30
		record.Windows = map[string]map[string]uint32{"40": {"parents": 3}, "41": {}}
		return record
	}
	for _, c := range []struct {
		name   string
		change func(*duty.Record)
		same   bool
	}{
		{"nothing", func(*duty.Record) {}, true},
		{"holder", func(r *duty.Record) { r.Holder = "" }, false},
		{"incarnation", func(r *duty.Record) { r.Incarnation++ }, false},
		{"fence", func(r *duty.Record) { r.Fence-- }, false},
		{"first window that is due", func(r *duty.Record) { r.DueFrom = 29 }, false},
		{"number of requests", func(r *duty.Record) { r.Windows["40"] = map[string]uint32{"parents": 4} }, false},
		{"organisations", func(r *duty.Record) { r.Windows["41"] = map[string]uint32{"schools": 1} }, false},
		{"a window is missing", func(r *duty.Record) { delete(r.Windows, "41") }, false},
		{"a window more", func(r *duty.Record) { r.Windows["39"] = map[string]uint32{} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &lateStore{lose: true}
			r := newHolder(t, s, s)
			stored := written(r)
			c.change(&stored)
			value, err := json.MarshalIndent(stored, "", " ") // the store keeps the content, not the form
			is.NoErr(err)
			before := r.revision
			s.value, s.revision = string(value), 6
			is.Equal(r.writeRecord(context.Background(), written(r), before), c.same)
			is.Equal(r.revision != before, c.same)
		})
	}
}

// Guards against a hold that goes on by a record that names no holder, or another one.
func TestHoldIsConfirmedOnlyByARecordThatNamesTheHolder(t *testing.T) {
	for _, holder := range []string{"", "h2"} {
		is := is.New(t)
		s := &lateStore{}
		r := newHolder(t, s, s)
		record := r.record
		record.Holder = holder
		value, err := json.Marshal(record)
		is.NoErr(err)
		s.value, s.revision = string(value), 6
		is.True(!r.confirmHolding(context.Background(), time.Now()))
		is.True(!r.isHolding())
	}
}

// Guards against a hand-over that is taken for done although the store still names the holder: the next host then waits for
// the lease. A late write of before may be carried out in between.
func TestHandOverIsRepeatedUntilTheStoreHasIt(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := &lateStore{lose: true}
	reads := 0
	r := newHolder(t, readHook{s, func() {
		if reads++; reads == 2 { // the freeze is carried out after the hand-over was written
			s.carryOut()
			s.lose = false
		}
	}}, s)
	r.node.ledger.Merge(metering.Process{Host: "h2"}, 40, metering.Counts{"parents": 3})
	_, ok := r.freezeWindow(ctx, 40)
	is.True(!ok)
	r.handOver(ctx)
	is.True(!r.isHolding())
	stored, err := duty.Decode([]byte(s.value), s.revision)
	is.NoErr(err)
	is.Equal(stored.Holder, "")
	is.Equal(stored.Windows["40"], map[string]uint32{"parents": 3})
}
