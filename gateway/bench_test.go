package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniapin/contract"
	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// newOneTokenEngine starts an HTTP engine that answers every request with one token.
func newOneTokenEngine() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		from := bytes.Index(body, []byte(`"attempt":"`)) + len(`"attempt":"`)
		attempt := body[from : from+bytes.IndexByte(body[from:], '"')]
		_, _ = w.Write([]byte(`{"attempt":"` + string(attempt) + `","offset":0,"tokens":1,"text":"a","done":true,"finish":"stop","prompt_tokens":1,"output_tokens":1}` + "\n"))
	}))
}

// Numbers of concurrent callers in benchmarks.
const (
	manyCallers = 64 // enough to use all processors
	fewCallers  = 2  // few enough that no request queues
)

// measure calls send from concurrent callers and reports throughput and latency.
func measure(b *testing.B, callers int, send func() bool) {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	work := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range work {
				began := time.Now()
				ok := send()
				taken := time.Since(began).Microseconds()
				mu.Lock()
				if !ok {
					b.Error("a request failed")
				}
				_ = h.RecordValue(taken)
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "median-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
}

// post sends a body and tells whether the response has status 200.
func post(client *http.Client, url, key, body string) bool {
	request, err := http.NewRequest("POST", url, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// BenchmarkDirect calls a trivial engine without a gateway, as the baseline for
// BenchmarkGateway.
func BenchmarkDirect(b *testing.B) {
	server := newOneTokenEngine()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: manyCallers}}
	for _, callers := range []int{fewCallers, manyCallers} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			measure(b, callers, func() bool {
				return post(client, server.URL+httpengine.GeneratePath, "", `{"attempt":"x"}`)
			})
		})
	}
}

// BenchmarkGateway calls the same engine through a gateway.
func BenchmarkGateway(b *testing.B) {
	server := newOneTokenEngine()
	defer server.Close()
	tg := newTestGateway(b, httpengine.New(httpengine.Options{IdleConns: manyCallers}))
	t := liveTarget("e1", target.Engine, "p", server.Listener.Addr().String())
	t.Report.Capacity = manyCallers
	tg.view = append(tg.view[:0], t)
	tg.g.Configure(newSnapshot(2, withoutLimits))
	tg.g.Observe(tg.view)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: manyCallers}}
	body := chatRequest("hello", false)
	for _, callers := range []int{fewCallers, manyCallers} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			measure(b, callers, func() bool {
				return post(client, tg.server.URL+"/v1/chat/completions", testKey, body)
			})
		})
	}
}

// withoutLimits raises an organisation's limits so that no benchmark reaches them.
func withoutLimits(kalnins, _ *contract.Contract) {
	kalnins.Limits = contract.Limits{RequestsPerSecond: 1e6, Concurrency: 10_000}
}

// Streams in benchmarks.
const (
	streamTokens      = 64 // per stream, in one chunk each
	tokenPause        = time.Millisecond
	concurrentStreams = 16 // at once
)

// newStreamingEngine starts an HTTP engine that streams its answer token by token.
func newStreamingEngine() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		from := bytes.Index(body, []byte(`"attempt":"`)) + len(`"attempt":"`)
		attempt := body[from : from+bytes.IndexByte(body[from:], '"')]
		control := http.NewResponseController(w)
		for i := range streamTokens {
			end := ""
			if i == streamTokens-1 {
				end = fmt.Sprintf(`,"done":true,"finish":"stop","prompt_tokens":1,"output_tokens":%d`, streamTokens)
			}
			_, _ = fmt.Fprintf(w, `{"attempt":"%s","offset":%d,"tokens":1,"text":"word "%s}`+"\n", attempt, i, end)
			_ = control.Flush()
			time.Sleep(tokenPause)
		}
	}))
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for invalid arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// readStream reads a stream and returns the time until its first token, which the text first
// identifies.
func readStream(client *http.Client, url, key, body, first string, buffer []byte) (time.Duration, error) {
	request, err := http.NewRequest("POST", url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	seen := 0
	for !bytes.Contains(buffer[:seen], []byte(first)) {
		n, err := response.Body.Read(buffer[seen:])
		seen += n
		if err != nil {
			return 0, fmt.Errorf("%w after %s", err, buffer[:seen])
		}
	}
	took := time.Since(began)
	_, err = io.Copy(io.Discard, response.Body)
	return took, err
}

// measureStreams reads concurrent streams and reports the latency of the first token and the
// processor time per token, which includes that of the caller and the engine.
func measureStreams(b *testing.B, client *http.Client, url, key, body, first string) {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	work := make(chan struct{})
	used := processorTime()
	for range concurrentStreams {
		group.Go(func() {
			buffer := make([]byte, 64<<10)
			for range work {
				took, err := readStream(client, url, key, body, first, buffer)
				mu.Lock()
				if err != nil {
					b.Error(err)
				}
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	group.Wait()
	used = processorTime() - used
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*streamTokens), "cpu-us/token")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "first-median-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "first-p99-us")
}

// BenchmarkStreams compares streams read directly from an engine with streams through a
// gateway. The difference is the gateway's cost.
func BenchmarkStreams(b *testing.B) {
	server := newStreamingEngine()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: manyCallers}}
	b.Run("direct", func(b *testing.B) {
		measureStreams(b, client, server.URL+httpengine.GeneratePath, "", `{"attempt":"x"}`, `"text":"word `)
	})
	b.Run("gateway", func(b *testing.B) {
		tg := newTestGateway(b, httpengine.New(httpengine.Options{IdleConns: manyCallers}))
		tg.view = append(tg.view[:0], liveTarget("e1", target.Engine, "p", server.Listener.Addr().String()))
		tg.g.Configure(newSnapshot(2, withoutLimits))
		tg.g.Observe(tg.view)
		measureStreams(b, client, tg.server.URL+"/v1/chat/completions", testKey, chatRequest("hello", true), `"content":"word `)
	})
}
