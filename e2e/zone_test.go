package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniapin/internal/deploy"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/service"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/target/httpengine"
	"zinniapin/zone"
)

// Pauses of the callers under a lost zone.
const (
	depositPause = 20 * time.Millisecond
	chatPause    = 40 * time.Millisecond
	droppedPause = 250 * time.Millisecond // after a request that got no answer
)

// zoneTargets are the stand-ins of one availability zone.
type zoneTargets struct {
	engines  []*engine.Server
	services []*service.Server
}

// targetsOf returns the targets of a zone, by the settings of the stand-ins.
func (r *rig) targetsOf(name zone.Name) zoneTargets {
	s := &settings.Standin{}
	r.is.NoErr(r.StandinSettings(s))
	services := map[string]*service.Server{}
	for _, one := range r.standins.Services() {
		services[one.Address()] = one
	}
	var found zoneTargets
	for _, host := range s.Platform.Hosts {
		if host.Zone != name || host.Target == nil {
			continue
		}
		if host.Target.Kind == target.Service {
			found.services = append(found.services, services[host.Target.Address])
			continue
		}
		found.engines = append(found.engines, r.standins.Engine(host.Target.ID))
	}
	return found
}

// stop ends the targets at once.
func (z zoneTargets) stop() {
	for _, e := range z.engines {
		e.Engine.Crash()
	}
	for _, s := range z.services {
		s.Crash()
	}
}

// restart starts the targets at their addresses.
func (z zoneTargets) restart() error {
	for _, e := range z.engines {
		if err := e.Restart(); err != nil {
			return err
		}
	}
	for _, s := range z.services {
		if err := s.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// generated returns how many requests the zone's engines received.
func (z zoneTargets) generated() int {
	total := 0
	for _, e := range z.engines {
		for _, record := range e.Engine.Records().HTTP {
			if record.Method == http.MethodPost && record.Path == httpengine.GeneratePath {
				total++
			}
		}
	}
	return total
}

// called returns how many calls the zone's services received.
func (z zoneTargets) called() int {
	total := 0
	for _, s := range z.services {
		total += len(s.Calls())
	}
	return total
}

// sent is a request that was sent once, and its answer; a failed transport has
// status 0.
type sent struct {
	id     string
	host   int
	status int
	body   string
}

// notRun tells whether the answer says that nothing ran.
func (s sent) notRun() bool {
	return strings.Contains(s.body, `"execution":"not_run"`)
}

// load is what callers of all gateways sent.
type load struct {
	mu       sync.Mutex
	chats    []sent
	deposits []sent
	end      chan struct{}
	running  sync.WaitGroup
}

// startLoad begins callers at every gateway: chats, and deposits of which each
// is sent once.
func (r *rig) startLoad(key string) *load {
	l := &load{end: make(chan struct{})}
	for host := range r.Hosts {
		url := r.url(host)
		l.repeat(&l.chats, chatPause, func(n int) sent {
			return r.sendChat(host, url, key, fmt.Sprintf("chat-%d-%d", host, n))
		})
		l.repeat(&l.deposits, depositPause, func(n int) sent {
			return r.sendDeposit(host, url, key, fmt.Sprintf("deposit-%d-%d", host, n))
		})
	}
	return l
}

// repeat sends one request after the other until stop.
func (l *load) repeat(into *[]sent, pause time.Duration, one func(n int) sent) {
	l.running.Go(func() {
		for n := 0; ; n++ {
			s := one(n)
			l.note(into, s)
			wait := pause
			if s.status == 0 {
				wait = droppedPause
			}
			select {
			case <-l.end:
				return
			case <-time.After(wait):
			}
		}
	})
}

// note keeps a request.
func (l *load) note(into *[]sent, s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*into = append(*into, s)
}

// stop ends the callers.
func (l *load) stop() {
	close(l.end)
	l.running.Wait()
}

// served counts the requests that a host has answered with a status so far.
func (l *load) served(of *[]sent, host, status int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, s := range *of {
		if s.host == host && s.status == status {
			total++
		}
	}
	return total
}

// sendChat sends a chat whose prompt holds an id.
func (r *rig) sendChat(host int, url, key, id string) sent {
	body := fmt.Sprintf(`{"model":"assistant","max_tokens":24,"messages":[{"role":"user","content":%q}]}`, "programme "+id+".")
	return r.send(host, id, deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: body})
}

// sendDeposit sends a deposit under its id as idempotency key.
func (r *rig) sendDeposit(host int, url, key, id string) sent {
	return r.send(host, id, deploy.Call{
		Method: http.MethodPost, URL: url + "/v1/services/booking-desk/deposits", Key: key,
		Body:   fmt.Sprintf(`{"id":%q}`, id),
		Header: map[string]string{"Idempotency-Key": id},
	})
}

// send sends a call and takes a failed transport for an answer without status.
func (r *rig) send(host int, id string, call deploy.Call) sent {
	answer, err := call.Send(r.ctx)
	if err != nil {
		return sent{id: id, host: host}
	}
	return sent{id: id, host: host, status: answer.Status, body: answer.Body}
}

// generous gives an organisation limits beyond what callers send here.
func (r *rig) generous(organisation string) {
	_, err := r.RunOperatorCommand(r.ctx, "contract", "set", organisation,
		"limits.requests_per_second=1000", "limits.burst=1000", "limits.concurrency=500", "limits.tokens_per_minute=60000000", "--wait")
	r.is.NoErr(err)
}

// TestLostZone takes a whole availability zone down under load: the processes
// of its host are killed and its targets end. Callers of the other zones'
// gateways are served on, every refusal that says "not run" is true, deposits
// run at most once, also when they are repeated, and the zone serves again
// when it is back.
func TestLostZone(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	r.generous("parents-portal")
	key := r.key("parents-portal")
	lost := r.targetsOf("riga-a")
	r.is.Equal(len(lost.engines), 3)
	r.is.Equal(len(lost.services), 1)
	for _, s := range r.standins.Services() {
		s.SetFaults(service.Faults{DelayMillis: 30}) // so that calls are under way
	}
	l := r.startLoad(key)
	began := time.Now()
	r.eventually("the zone works under load", func() bool {
		return lost.generated() > 5 && lost.called() > 5 && l.served(&l.deposits, 0, http.StatusCreated) > 5
	})

	lost.stop()
	r.Process("host-1-gateway").Kill()
	r.Process("host-1-controller").Kill()
	r.othersServe(l, 60)
	r.eventually("the controllers forget the host", func() bool { return !r.member("host-1") })
	r.othersServe(l, 60)

	r.is.NoErr(lost.restart())
	_, err := r.StartController("host-1")
	r.is.NoErr(err)
	_, err = r.StartGateway("host-1")
	r.is.NoErr(err)
	r.is.NoErr(r.WaitHost(r.ctx, "host-1"))
	generated, called := lost.generated(), lost.called()
	chats := l.served(&l.chats, 0, http.StatusOK)
	r.eventually("the zone serves again", func() bool {
		return l.served(&l.chats, 0, http.StatusOK) > chats && lost.generated() > generated && lost.called() > called
	})
	l.stop()
	t.Logf("load of %v", time.Since(began).Round(time.Second))
	r.checkLoad(t, key, l)
}

// othersServe waits until the gateways of the other zones have each served
// more chats and deposits.
func (r *rig) othersServe(l *load, more int) {
	for host := 1; host < len(r.Hosts); host++ {
		chats := l.served(&l.chats, host, http.StatusOK)
		deposits := l.served(&l.deposits, host, http.StatusCreated)
		r.eventually("host "+r.Hosts[host]+" serves on", func() bool {
			return l.served(&l.chats, host, http.StatusOK) >= chats+more && l.served(&l.deposits, host, http.StatusCreated) >= deposits+more
		})
	}
}

// member tells whether the controllers know any process of a host.
func (r *rig) member(host string) bool {
	out, err := r.RunOperatorCommand(r.ctx, "--json", "status", "members")
	if err != nil {
		return true
	}
	var members []struct {
		Host string `json:"host"`
	}
	r.is.NoErr(json.Unmarshal([]byte(out), &members))
	for _, m := range members {
		if m.Host == host {
			return true
		}
	}
	return false
}

// checkLoad judges every request: what its answer says about its execution is
// true, no caller of the other zones is refused for a limit that it keeps to,
// and a deposit without a certain answer, sent again, runs no second time.
func (r *rig) checkLoad(t *testing.T, key string, l *load) {
	prompts := r.prompts()
	answers := map[string]int{}
	for _, s := range l.chats {
		answers["chat "+s.outcome()]++
		r.is.True(s.status != 0 || s.host == 0) // only the killed gateway drops callers
		r.is.True(s.status != http.StatusTooManyRequests || s.host == 0)
		if s.notRun() {
			r.is.True(!strings.Contains(prompts, s.id+".")) // it reached no engine
		}
	}
	for _, s := range l.deposits {
		answers["deposit "+s.outcome()]++
		r.is.True(s.status != 0 || s.host == 0)
		r.is.True(s.status != http.StatusTooManyRequests || s.host == 0)
		switch {
		case s.status == http.StatusCreated:
			r.is.Equal(r.runs(s.id), 1)
		case s.notRun():
			r.is.Equal(r.runs(s.id), 0)
		}
	}
	r.repeatUncertain(key, l.deposits)
	for _, s := range l.deposits {
		r.is.True(r.runs(s.id) <= 1)
	}
	t.Logf("answers: %v", answers)
}

// maxRepeated bounds the deposits that are sent again; those that were under
// way when their gateway died come first.
const maxRepeated = 20

// repeatUncertain sends deposits without a certain answer again, through the
// gateways of the other zones.
func (r *rig) repeatUncertain(key string, deposits []sent) {
	repeated := 0
	for _, s := range deposits {
		if s.status == http.StatusCreated || s.notRun() || repeated == maxRepeated {
			continue
		}
		repeated++
		for host := 1; host < len(r.Hosts); host++ {
			r.sendDeposit(host, r.url(host), key, s.id)
		}
	}
}

// outcome returns the status and what the answer says of the execution.
func (s sent) outcome() string {
	_, code, _ := strings.Cut(s.body, `"code":"`)
	code, _, _ = strings.Cut(code, `"`)
	if s.notRun() {
		code += ", not run"
	}
	return fmt.Sprint(s.status, " ", code)
}

// prompts returns what all engines were sent to generate.
func (r *rig) prompts() string {
	var all strings.Builder
	for _, e := range r.standins.Engines() {
		for _, record := range e.Records().HTTP {
			all.Write(record.Body)
			all.WriteByte('\n')
		}
	}
	return all.String()
}
