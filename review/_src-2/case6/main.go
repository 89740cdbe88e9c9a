// Command case6 plays a rolling restart of hosts while the operator changes the configuration, all planned work, and
// checks that no host cuts a request that it has passed on.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"zinniapin/review/_src-2/world"
)

const (
	hosts   = 4
	servers = 6
	// idleRoutes is the number of routes that a configuration which has grown has besides those in use.
	idleRoutes = 1400
	// atOnce is the number of hosts that are restarted at the same time.
	atOnce  = 3
	clients = 130
	// interval is the mean pause of a client between two requests.
	interval = 100 * time.Millisecond
	runTime  = 100 * time.Second
	// changeAfter is the time from the start of the hosts to the change of the configuration, which meets them as they return.
	changeAfter = 30 * time.Millisecond
	// settleTime is the mean time from the change to the next restart.
	settleTime = time.Second
	// configurationWindow is the time after the acknowledgement of a configuration in which cuts count: ConfigApplyMs and a second.
	configurationWindow = 4 * time.Second
	// ownEndsAtMost is the number of processes that ended by themselves after which the run is over.
	ownEndsAtMost = 2
	// usedShare is the share of its time after which a request that is cut does not count.
	usedShare = 0.7
)

func main() { os.Exit(run()) }

// run plays the case and returns the exit code.
func run() int {
	w, err := world.New()
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	if err := prepare(w); err != nil {
		return fail(err)
	}
	var attempts world.Attempts
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { w.RunClient(fmt.Sprint("c", i), "riga-a", "read", interval, &attempts, stop) })
	}
	var changes []time.Time
	until := time.Now().Add(runTime)
	for first := 0; time.Now().Before(until) && ownEnds(w) < ownEndsAtMost; first++ {
		if !world.Trouble() {
			time.Sleep(time.Second)
			continue
		}
		changes = append(changes, restart(w, first)...)
		time.Sleep(settleTime/2 + rand.N(settleTime))
	}
	close(stop)
	running.Wait()
	return judge(w, attempts.All(), changes)
}

// fail reports that the case could not run.
func fail(err error) int {
	fmt.Println("the case could not run:", err)
	return 2
}

// prepare starts the servers and hosts and waits until these are ready.
func prepare(w *world.World) error {
	w.IdleRoutes = idleRoutes
	w.Configure()
	if err := w.AddServers(servers, world.ServerOptions{Slots: 6, Queue: 24, Work: 30 * time.Millisecond, ErrorShare: 0.14}); err != nil {
		return err
	}
	for i := range hosts {
		n, err := w.AddNode(fmt.Sprint("front-riga-a-", i+1), "riga-a", "")
		if err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.Nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == hosts {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d hosts are ready", ready, hosts)
		}
	}
	w.Balance()
	time.Sleep(2 * time.Second)
	return nil
}

// restart stops some hosts, starts them again and changes the configuration meanwhile. It returns the times of the
// changes.
func restart(w *world.World, first int) (changes []time.Time) {
	var chosen []*world.Node
	for i := range atOnce {
		chosen = append(chosen, w.Nodes[(first+i)%hosts])
	}
	for _, n := range chosen {
		n.Signal(syscall.SIGTERM)
	}
	for _, n := range chosen {
		n.AwaitEnd()
	}
	time.Sleep(world.RestartDelay)
	for _, n := range chosen {
		if err := n.Start(); err != nil {
			w.Record.Add("%s: %v", n.Name, err)
		}
	}
	time.Sleep(changeAfter)
	w.Configure()
	return append(changes, time.Now())
}

// ownEnds returns the number of processes that ended although nobody told them to.
func ownEnds(w *world.World) int {
	count := 0
	for _, n := range w.Nodes {
		count += len(n.OwnEnds())
	}
	return count
}

// judge writes the record and returns the exit code: 1 if a host cut a request that it had passed on.
func judge(w *world.World, attempts []world.Attempt, changes []time.Time) int {
	runs := make(map[string][]world.Run)
	for _, s := range w.Servers {
		for id, all := range s.Runs() {
			runs[id] = append(runs[id], all...)
		}
	}
	lost, cutAtOtherTimes, complete := 0, 0, 0
	for _, a := range attempts {
		text := fmt.Sprintf("request %s is sent to %s;", a.ID, a.Host)
		for _, r := range runs[a.ID] {
			text += fmt.Sprintf(" runs at %s, which answers %d after %d ms;", r.Server, r.Status, r.Ended.Sub(a.Sent).Milliseconds())
		}
		took := a.End.Sub(a.Sent)
		switch {
		case a.Complete:
			complete++
			text += fmt.Sprintf(" the client has the answer %d", a.Status)
		case a.Left:
			text += " the client gives up"
		case !a.Whole || len(runs[a.ID]) == 0 || took > time.Duration(usedShare*float64(world.Deadline)):
			text += " the connection ends without an answer, which doesn't count"
		case nearChange(a.End, changes):
			lost++
			text += " the connection ends without an answer: LOST"
		default:
			cutAtOtherTimes++
			text += " the connection ends without an answer, with no change of the configuration"
		}
		w.Record.AddAt(a.Sent, "%s after %d ms", text, took.Milliseconds())
	}
	text := fmt.Sprintf("%d requests, %d answered, %d lost beside a change of the configuration, %d cut at other times, %d processes ended by themselves",
		len(attempts), complete, lost, cutAtOtherTimes, ownEnds(w))
	w.Record.Add("%s", text)
	fmt.Println(text)
	if err := w.Record.Write(os.Args[1]); err != nil {
		return fail(err)
	}
	switch {
	case lost > cutRatio*cutAtOtherTimes:
		return 1
	case complete == 0:
		return fail(fmt.Errorf("no request was answered"))
	}
	return 0
}

// cutRatio is how many times as often as at other times a host cuts requests before they count.
const cutRatio = 3

// nearChange tells whether a time is within configurationWindow after a change of the configuration.
func nearChange(at time.Time, changes []time.Time) bool {
	for _, c := range changes {
		if at.After(c) && at.Sub(c) < configurationWindow {
			return true
		}
	}
	return false
}
