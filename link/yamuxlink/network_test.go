package yamuxlink

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"zinniapin/internal/certs"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/wire"
	"zinniapin/zone"
)

// eventTimeout bounds the wait for an event that a test expects; it is long enough
// for a busy machine.
const eventTimeout = 20 * time.Second

// newNetwork returns the network of a controller on a host.
func newNetwork(host string, config *tls.Config) *Network {
	log := zerolog.Nop()
	self := machine.Process{Host: machine.HostID(host), Role: machine.Controller, Incarnation: 5, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	return &Network{Self: self, TLS: config, Log: &log}
}

// certificateFiles returns settings with the names of a host's certificate files.
func certificateFiles(directory, host string) settings.TLS {
	return settings.TLS{
		Certificate: filepath.Join(directory, host+".pem"),
		Key:         filepath.Join(directory, host+"-key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
}

// issueTLS returns the TLS configuration of a controller on a host.
func issueTLS(t testing.TB, a *certs.Authority, host string) *tls.Config {
	return issueTLSForRoles(t, a, host, machine.Controller)
}

// issueTLSForRoles returns the TLS configuration of a host whose certificate holds
// the roles.
func issueTLSForRoles(t testing.TB, a *certs.Authority, host string, roles ...machine.Role) *tls.Config {
	directory := t.TempDir()
	if err := a.WriteHost(directory, host, roles...); err != nil {
		t.Fatal(err)
	}
	files := certificateFiles(directory, host)
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.PEM)
	return MutualTLS(pair, roots)
}

// echo answers a status request with its argument and refuses other messages. The
// topic "wait" makes it wait for the end of the call, "large" reply with a message
// that is too large to send.
var echo = link.HandlerFunc(func(ctx context.Context, _ link.Link, q *wire.Envelope) (*wire.Envelope, error) {
	status := q.GetStatusRequest()
	switch {
	case status == nil:
		return nil, result.New(result.UnknownMessage, "only status").Retry(3 * time.Second)
	case status.Topic == "wait":
		<-ctx.Done()
	case status.Topic == "large":
		return statusReply(make([]byte, link.MaxMessageBytes+1)), nil
	}
	return statusReply([]byte(status.Argument)), nil
})

// statusReply returns a status reply with raw as its JSON.
func statusReply(raw []byte) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: &wire.StatusReply{Json: raw}}}
}

// statusRequest returns a status request.
func statusRequest(topic, argument string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: &wire.StatusRequest{Topic: topic, Argument: argument}}}
}

// listen listens on the loopback interface and returns the address and the
// accepted links.
func listen(t testing.TB, n *Network) (string, <-chan link.Link) {
	accepted := make(chan link.Link, 512)
	address, stop, err := n.Listen("127.0.0.1:0", echo, func(l link.Link) { accepted <- l })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })
	return address, accepted
}

// TestCallsBothWays covers calls by both sides over mutual TLS, failures with their
// result code and retry delay, deadlines, oversized messages and the end of a link.
func TestCallsBothWays(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // runs after the listener has closed
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	address, accepted := listen(t, newNetwork("host-b", issueTLS(t, a, "host-b")))
	local, err := newNetwork("host-a", issueTLS(t, a, "host-a")).Dial(context.Background(), address, echo)
	is.NoErr(err)
	remote := <-accepted
	defer func() { _ = local.Close(); _ = remote.Close(); <-remote.Done() }()
	is.Equal(local.Peer().Host, machine.HostID("host-b"))
	is.Equal(remote.Peer().ID(), "host-a/controller/0000000000000005")
	for _, l := range []link.Link{local, remote} {
		got, err := l.Call(context.Background(), statusRequest("echo", "hello"))
		is.NoErr(err)
		is.True(bytes.Equal(got.GetStatusReply().Json, []byte("hello")))
	}
	_, err = local.Call(context.Background(), &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: &wire.Cordon{}}})
	is.Equal(result.CodeOf(err), result.UnknownMessage)
	is.Equal(result.Of(err).RetryAfter, 3*time.Second)
	_, err = local.Call(context.Background(), statusRequest("echo", string(make([]byte, link.MaxMessageBytes))))
	is.True(errors.Is(err, link.ErrTooLarge))
	_, err = local.Call(context.Background(), statusRequest("large", ""))
	is.Equal(result.CodeOf(err), result.Internal) // the listener could not send the reply
	shortCtx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = local.Call(shortCtx, statusRequest("wait", ""))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = local.Call(context.Background(), statusRequest("echo", "still open"))
	is.NoErr(err)
	is.NoErr(remote.Close())
	select {
	case <-local.Done():
	case <-time.After(eventTimeout):
		t.Fatal("the dialler did not notice that the link had ended")
	}
	_, err = local.Call(context.Background(), statusRequest("echo", ""))
	is.True(errors.Is(err, link.ErrClosed))
}

// TestForeignPeersAreRefused covers diallers with a certificate of a foreign
// authority or of another host, without a certificate and without TLS, and a
// listener with a certificate of a foreign authority.
func TestForeignPeersAreRefused(t *testing.T) {
	is := is.New(t)
	ours, err := certs.NewAuthority()
	is.NoErr(err)
	foreign, err := certs.NewAuthority()
	is.NoErr(err)
	address, accepted := listen(t, newNetwork("host-b", issueTLS(t, ours, "host-b")))
	noCertificate := issueTLS(t, ours, "host-a")
	noCertificate.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil // presents none
	}
	for name, n := range map[string]*Network{
		"foreign authority": newNetwork("host-a", issueTLS(t, foreign, "host-a")),
		"other host's name": newNetwork("host-a", issueTLS(t, ours, "host-c")),
		"no certificate":    newNetwork("host-a", noCertificate),
		"plaintext":         newNetwork("host-a", nil),
	} {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		l, err := n.Dial(ctx, address, echo)
		cancel()
		if err == nil {
			_ = l.Close()
			t.Errorf("%s: the link was accepted", name)
		}
	}
	is.Equal(len(accepted), 0)
	foreignAddress, _ := listen(t, newNetwork("host-b", issueTLS(t, foreign, "host-b")))
	_, err = newNetwork("host-a", issueTLS(t, ours, "host-a")).Dial(context.Background(), foreignAddress, echo)
	is.True(err != nil) // the dialler checks the listener's certificate too
	is.Equal(result.CodeOf(err), result.LinkRefused)
}

// TestOtherVersionIsRefused covers a Hello with another protocol version and a
// first message that exceeds maxHelloBytes.
func TestOtherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	n := newNetwork("host-b", nil)
	address, accepted := listen(t, n)
	hello := link.HelloOf(newNetwork("host-a", nil).Self)
	hello.Protocol = link.ProtocolVersion + 1
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(writeMessage(conn, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}, maxHelloBytes))
	answer, _, err := readMessage(conn, maxHelloBytes, &hold{})
	is.NoErr(err)
	is.Equal(result.CodeOf(link.ErrorOf(answer)), result.LinkRefused)
	long, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = long.Close() }()
	_, err = long.Write([]byte{0xff, 0xff, 0xff, 0xff})
	is.NoErr(err)
	_ = long.SetReadDeadline(time.Now().Add(eventTimeout))
	answer, _, err = readMessage(long, maxHelloBytes, &hold{})
	is.NoErr(err)
	is.True(link.ErrorOf(answer) != nil)
	is.Equal(len(accepted), 0)
}

// BenchmarkLinkMemory measures the memory that the two ends of a link take together.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	for name, authority := range map[string]*certs.Authority{"plaintext": nil, "tls": a} {
		b.Run(name, func(b *testing.B) {
			var dialler, listener *tls.Config
			if authority != nil {
				dialler, listener = issueTLS(b, authority, "host-a"), issueTLS(b, authority, "host-b")
			}
			address, accepted := listen(b, newNetwork("host-b", listener))
			for b.Loop() {
				before := memoryInUse()
				var open []link.Link
				for range links {
					l, err := newNetwork("host-a", dialler).Dial(context.Background(), address, echo)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := l.Call(context.Background(), statusRequest("echo", "x")); err != nil {
						b.Fatal(err)
					}
					open = append(open, l, <-accepted)
				}
				b.ReportMetric(float64(memoryInUse()-before)/links, "B/link_both_ends")
				for _, l := range open {
					_ = l.Close()
				}
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkCallBytes measures the bytes that one call with a short request and
// reply takes on the wire in both directions, without TCP and IP headers, and the
// CPU time of both ends and of the counting proxy between them.
func BenchmarkCallBytes(b *testing.B) {
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	address, accepted := listen(b, newNetwork("host-b", issueTLS(b, a, "host-b")))
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	var copied atomic.Int64
	go func() {
		client, err := proxy.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go copyCounting(client, server, &copied)
		copyCounting(server, client, &copied)
	}()
	l, err := newNetwork("host-a", issueTLS(b, a, "host-a")).Dial(context.Background(), proxy.Addr().String(), echo)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close(); _ = (<-accepted).Close() }()
	before, cpuBefore, calls := copied.Load(), processorTime(), 0
	for b.Loop() {
		if _, err := l.Call(context.Background(), statusRequest("echo", "x")); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(copied.Load()-before)/float64(calls), "B/call")
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(calls), "cpu-us/call")
}

// processorTime returns the CPU time of this test process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// copyCounting copies from one connection to the other until one closes, and adds
// the bytes to copied.
func copyCounting(to, from net.Conn, copied *atomic.Int64) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		copied.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
