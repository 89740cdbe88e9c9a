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

// Pauses of a caller between two requests.
const (
	depositPause  = 20 * time.Millisecond
	chatPause     = 40 * time.Millisecond
	noAnswerPause = 250 * time.Millisecond // after a request that got no answer
)

// zoneTargets are the simulated targets of one availability zone.
type zoneTargets struct {
	engines  []*engine.Server
	services []*service.Server
}

// targetsOf returns the targets that the settings place in a zone.
func (r *testDeployment) targetsOf(name zone.Name) zoneTargets {
	s := &settings.Standin{}
	r.is.NoErr(r.StandinSettings(s))
	services := map[string]*service.Server{}
	for _, one := range r.standins.Services() {
		services[one.Address()] = one
	}
	var targets zoneTargets
	for _, host := range s.Platform.Hosts {
		if host.Zone != name || host.Target == nil {
			continue
		}
		if host.Target.Kind == target.Service {
			targets.services = append(targets.services, services[host.Target.Address])
			continue
		}
		targets.engines = append(targets.engines, r.standins.Engine(host.Target.ID))
	}
	return targets
}

// stop crashes the targets.
func (z zoneTargets) stop() {
	for _, e := range z.engines {
		e.Engine.Crash()
	}
	for _, s := range z.services {
		s.Crash()
	}
}

// restart starts the crashed targets at the same addresses.
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

// generateRequests returns how many generate requests the zone's engines received.
func (z zoneTargets) generateRequests() int {
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

// serviceCalls returns how many calls the zone's services received.
func (z zoneTargets) serviceCalls() int {
	total := 0
	for _, s := range z.services {
		total += len(s.Calls())
	}
	return total
}

// sentRequest is a request that was sent once, and its answer. The status is 0 if the
// connection failed before the answer was complete.
type sentRequest struct {
	id     string // of the chat or deposit, part of the request body
	host   int    // index of the host whose gateway it was sent to
	status int
	body   string // of the response
}

// notRun reports whether the answer states that the request was not executed.
func (s sentRequest) notRun() bool {
	return strings.Contains(s.body, `"execution":"not_run"`)
}

// load sends requests to all gateways and records them.
type load struct {
	mu       sync.Mutex
	chats    []sentRequest
	deposits []sentRequest
	end      chan struct{} // closed by stop
	running  sync.WaitGroup
}

// startLoad starts callers at every gateway: one that sends chats and one that sends
// deposits, each deposit once.
func (r *testDeployment) startLoad(key string) *load {
	l := &load{end: make(chan struct{})}
	for host := range r.Hosts {
		url := r.url(host)
		l.sendRepeatedly(&l.chats, chatPause, func(n int) sentRequest {
			return r.sendChat(host, url, key, fmt.Sprintf("chat-%d-%d", host, n))
		})
		l.sendRepeatedly(&l.deposits, depositPause, func(n int) sentRequest {
			return r.sendDeposit(host, url, key, fmt.Sprintf("deposit-%d-%d", host, n))
		})
	}
	return l
}

// sendRepeatedly sends one request after the other until stop is called.
func (l *load) sendRepeatedly(list *[]sentRequest, pause time.Duration, sendOne func(n int) sentRequest) {
	l.running.Go(func() {
		for n := 0; ; n++ {
			s := sendOne(n)
			l.record(list, s)
			wait := pause
			if s.status == 0 {
				wait = noAnswerPause
			}
			select {
			case <-l.end:
				return
			case <-time.After(wait):
			}
		}
	})
}

// record appends a request to a list.
func (l *load) record(list *[]sentRequest, s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, s)
}

// stop stops the callers and waits for them.
func (l *load) stop() {
	close(l.end)
	l.running.Wait()
}

// served returns how many requests of a list a host has answered with a status so far.
func (l *load) served(list *[]sentRequest, host, status int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, s := range *list {
		if s.host == host && s.status == status {
			total++
		}
	}
	return total
}

// sendChat sends a chat whose prompt contains an id.
func (r *testDeployment) sendChat(host int, url, key, id string) sentRequest {
	body := fmt.Sprintf(`{"model":"assistant","max_tokens":24,"messages":[{"role":"user","content":%q}]}`, "programme "+id+".")
	return r.send(host, id, deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: body})
}

// sendDeposit sends a deposit with its id as the idempotency key.
func (r *testDeployment) sendDeposit(host int, url, key, id string) sentRequest {
	return r.send(host, id, deploy.Call{
		Method: http.MethodPost, URL: url + "/v1/services/booking-desk/deposits", Key: key,
		Body:   fmt.Sprintf(`{"id":%q}`, id),
		Header: map[string]string{"Idempotency-Key": id},
	})
}

// send sends a call. On a connection error it returns a request with status 0.
func (r *testDeployment) send(host int, id string, call deploy.Call) sentRequest {
	answer, err := call.Send(r.ctx)
	if err != nil {
		return sentRequest{id: id, host: host}
	}
	return sentRequest{id: id, host: host, status: answer.Status, body: answer.Body}
}

// raiseLimits raises the limits of an organisation above what the callers of a test send.
func (r *testDeployment) raiseLimits(organisation string) {
	_, err := r.RunOperatorCommand(r.ctx, "contract", "set", organisation,
		"limits.requests_per_second=1000", "limits.burst=1000", "limits.concurrency=500", "limits.tokens_per_minute=60000000", "--wait")
	r.is.NoErr(err)
}

// TestLostZone takes a whole availability zone down under load: it kills the processes of
// its host and crashes its targets. The gateways of the other zones must go on serving. Every
// refusal that states "not run" must be true, deposits must be executed at most once, also
// when callers repeat them, and the zone must serve again after its restart.
func TestLostZone(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	r.raiseLimits("parents-portal")
	key := r.key("parents-portal")
	failedZone := r.targetsOf("riga-a")
	r.is.Equal(len(failedZone.engines), 3)
	r.is.Equal(len(failedZone.services), 1)
	for _, s := range r.standins.Services() {
		s.SetFaults(service.Faults{DelayMillis: 30}) // so that calls are in progress when the zone fails
	}
	l := r.startLoad(key)
	started := time.Now()
	r.eventually("the zone works under load", func() bool {
		return failedZone.generateRequests() > 5 && failedZone.serviceCalls() > 5 && l.served(&l.deposits, 0, http.StatusCreated) > 5
	})

	failedZone.stop()
	r.Process("host-1-gateway").Kill()
	r.Process("host-1-controller").Kill()
	r.waitOthersServe(l, 60)
	r.eventually("the controllers list no process of the host", func() bool { return !r.hostHasMember("host-1") })
	r.waitOthersServe(l, 60)

	r.is.NoErr(failedZone.restart())
	_, err := r.StartController("host-1")
	r.is.NoErr(err)
	_, err = r.StartGateway("host-1")
	r.is.NoErr(err)
	r.is.NoErr(r.WaitHost(r.ctx, "host-1"))
	generated, called := failedZone.generateRequests(), failedZone.serviceCalls()
	chats := l.served(&l.chats, 0, http.StatusOK)
	r.eventually("the zone serves again", func() bool {
		return l.served(&l.chats, 0, http.StatusOK) > chats && failedZone.generateRequests() > generated && failedZone.serviceCalls() > called
	})
	l.stop()
	t.Logf("load of %v", time.Since(started).Round(time.Second))
	r.checkLoad(t, key, l)
}

// waitOthersServe waits until each gateway but that of the first host has served the given
// number of additional chats and as many additional deposits.
func (r *testDeployment) waitOthersServe(l *load, more int) {
	for host := 1; host < len(r.Hosts); host++ {
		chats := l.served(&l.chats, host, http.StatusOK)
		deposits := l.served(&l.deposits, host, http.StatusCreated)
		r.eventually("host "+r.Hosts[host]+" goes on serving", func() bool {
			return l.served(&l.chats, host, http.StatusOK) >= chats+more && l.served(&l.deposits, host, http.StatusCreated) >= deposits+more
		})
	}
}

// hostHasMember tells whether the controllers list any process of a host as a member.
func (r *testDeployment) hostHasMember(host string) bool {
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

// checkLoad checks every request: what its answer states about its execution is true, no
// caller of the other zones is refused because of rate limits, and a deposit with an
// uncertain outcome is not executed a second time when it is repeated.
func (r *testDeployment) checkLoad(t *testing.T, key string, l *load) {
	prompts := r.prompts()
	answers := map[string]int{}
	for _, s := range l.chats {
		answers["chat "+s.outcome()]++
		r.is.True(s.status != 0 || s.host == 0) // only the killed gateway drops connections
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
			r.is.Equal(r.executions(s.id), 1)
		case s.notRun():
			r.is.Equal(r.executions(s.id), 0)
		}
	}
	r.repeatUncertainDeposits(key, l.deposits)
	for _, s := range l.deposits {
		r.is.True(r.executions(s.id) <= 1)
	}
	t.Logf("answers: %v", answers)
}

// maxRepeated limits how many deposits are repeated. The list begins with those that were
// in progress when their gateway was killed.
const maxRepeated = 20

// repeatUncertainDeposits repeats deposits whose outcome is uncertain, through the
// gateways of the other zones.
func (r *testDeployment) repeatUncertainDeposits(key string, deposits []sentRequest) {
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

// outcome returns the status, the error code and whether the answer states that the
// request was not executed.
func (s sentRequest) outcome() string {
	_, code, _ := strings.Cut(s.body, `"code":"`)
	code, _, _ = strings.Cut(code, `"`)
	if s.notRun() {
		code += ", not run"
	}
	return fmt.Sprint(s.status, " ", code)
}

// prompts returns the bodies of all requests that the engines received.
func (r *testDeployment) prompts() string {
	var all strings.Builder
	for _, e := range r.standins.Engines() {
		for _, record := range e.Records().HTTP {
			all.Write(record.Body)
			all.WriteByte('\n')
		}
	}
	return all.String()
}
