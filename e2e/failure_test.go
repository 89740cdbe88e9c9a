package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"zinniapin/internal/deploy"
	"zinniapin/internal/standin/platform"
	"zinniapin/internal/standin/service"
)

// stream is what a caller has received of a streamed answer.
type stream struct {
	text   string // concatenated content of the events
	lastID string // id of the last event, with which the stream is resumed
	events int    // events with content
	done   bool   // the final [DONE] was received
}

// streamBody is the body of a streamed request. The last verb takes the delivered text if
// the request resumes a stream.
const streamBody = `{"model":"assistant","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"a long programme, please"}]%s}`

// read requests the answer, or what is missing of it, and reads until its end or until
// stop returns true.
func (s *stream) read(ctx context.Context, url, key string, tokens int, stop func() bool) error {
	resume := ""
	if s.lastID != "" {
		delivered, _ := json.Marshal(s.text)
		resume = `,"zinnia_delivered":` + string(delivered)
	}
	body := strings.NewReader(fmt.Sprintf(streamBody, tokens, resume))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if s.lastID != "" {
		request.Header.Set("Last-Event-ID", s.lastID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		s.readLine(scanner.Text())
		if stop != nil && stop() {
			return nil
		}
	}
	return scanner.Err()
}

// readLine processes one line of a streamed answer.
func (s *stream) readLine(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		s.lastID = id
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		s.done = true
		return
	}
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
		s.text += event.Choices[0].Delta.Content
		s.events++
	}
}

// TestKilledGatewayStreamResumes kills a gateway in the middle of a stream. The caller
// resumes the stream through another gateway and must get each token once.
func TestKilledGatewayStreamResumes(t *testing.T) {
	t.Parallel()
	r := start(t, 2)
	key := r.key("programme-drafts")
	uninterrupted := &stream{}
	r.is.NoErr(uninterrupted.read(r.ctx, r.url(1), key, 400, nil))
	r.is.True(uninterrupted.done)

	resumed := &stream{}
	gateway := r.Process("host-1-gateway")
	_ = resumed.read(r.ctx, r.url(0), key, 400, func() bool { return resumed.events > 10 })
	gateway.Kill()
	r.is.True(!resumed.done)
	r.is.NoErr(resumed.read(r.ctx, r.url(1), key, 400, nil))
	r.is.True(resumed.done)
	r.is.Equal(resumed.text, uninterrupted.text)
}

// TestShutdownCutsNothing stops a gateway gracefully while streams run through it. All of
// them must complete.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	r := start(t, 2)
	key := r.key("programme-drafts")
	const callers = 20
	streams := make([]stream, callers)
	var running, done sync.WaitGroup
	running.Add(callers)
	for i := range streams {
		done.Go(func() {
			s := &streams[i]
			started := sync.OnceFunc(running.Done)
			defer started()
			_ = s.read(r.ctx, r.url(0), key, 300, func() bool {
				if s.events > 2 {
					started()
				}
				return false
			})
		})
	}
	running.Wait()
	r.is.NoErr(r.Process("host-1-gateway").Stop(r.ctx))
	done.Wait()
	for i := range streams {
		r.is.True(streams[i].done) // no stream was cut
	}
}

// TestDepositRunsOnceAcrossGatewayDeath kills the gateway that forwards a deposit while
// the service executes it. Repeated through the other gateway, the deposit must not be
// executed a second time.
func TestDepositRunsOnceAcrossGatewayDeath(t *testing.T) {
	t.Parallel()
	r := start(t, 2)
	key := r.key("parents-portal")
	for _, s := range r.standins.Services() {
		s.SetFaults(service.Faults{DelayMillis: 1500})
	}
	var sending sync.WaitGroup
	sending.Go(func() { _, _ = r.deposit(0, key, "death", "booking-2") })
	r.eventually("the service received the deposit", func() bool { return r.received("booking-2") })
	r.Process("host-1-gateway").Kill()
	sending.Wait()
	for range 5 {
		answer, err := r.deposit(1, key, "death", "booking-2")
		r.is.NoErr(err)
		r.is.Equal(answer.Status, http.StatusConflict) // the outcome is unknown or still open: not forwarded again
	}
	r.eventually("the deposit ran", func() bool { return r.executions("booking-2") == 1 })
	r.is.Equal(r.executions("booking-2"), 1)
}

// received reports whether any instance of the booking desk, the deployment's plain service, has
// received a request whose body contains the id of a deposit.
func (r *testDeployment) received(id string) bool {
	for _, s := range r.standins.Services() {
		for _, call := range s.Calls() {
			if strings.Contains(string(call.Body), id) {
				return true
			}
		}
	}
	return false
}

// TestPlatformOutage takes the platform down. Gateways must go on serving chats, and
// refuse deposits, which are not repeatable, without executing them.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	r := start(t, 2)
	key := r.key("parents-portal")
	r.standins.Platform.SetFaults(platform.Faults{Outage: true})
	for host := range r.Hosts {
		r.is.Equal(r.chat(host, key, "triage", 8, false).Status, http.StatusOK)
	}
	answer, err := r.deposit(0, key, "outage", "booking-3")
	r.is.NoErr(err)
	r.is.Equal(answer.Status, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(answer.Body, `"execution":"not_run"`))
	r.is.True(answer.Header.Get("Retry-After") != "")
	r.is.Equal(r.executions("booking-3"), 0)
	r.standins.Platform.SetFaults(platform.Faults{})
	r.eventually("the deposit is accepted", func() bool {
		answer, err := r.deposit(0, key, "outage", "booking-3")
		return err == nil && answer.Status == http.StatusCreated
	})
	r.is.Equal(r.executions("booking-3"), 1)
}

// TestFrozenControllerIsHarmless stops the controller process of a host with SIGSTOP. Its
// gateway must use another controller, and put a change in force that is made in the
// meantime.
func TestFrozenControllerIsHarmless(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	key := r.key("parents-portal")
	frozen := r.Process("host-1-controller")
	r.is.NoErr(frozen.Signal(syscall.SIGSTOP))
	_, err := r.RunOperatorCommand(r.ctx, "key", "withdraw", deploy.Fingerprint(key))
	r.is.NoErr(err)
	r.eventually("the withdrawn key is refused at every gateway", func() bool {
		for host := range r.Hosts {
			if r.chat(host, key, "triage", 4, false).Status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	r.is.NoErr(frozen.Signal(syscall.SIGCONT))
	r.is.Equal(r.chat(0, key, "triage", 4, false).Status, http.StatusUnauthorized)
}
