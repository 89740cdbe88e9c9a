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

// generous is how long a test waits for something that must come.
const generous = 20 * time.Second

// networkOf returns the network of a controller.
func networkOf(host string, secured *tls.Config) *Network {
	log := zerolog.Nop()
	self := machine.Process{Host: machine.HostID(host), Role: machine.Controller, Incarnation: 5, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	return &Network{Self: self, TLS: secured, Log: &log}
}

// filesOf names the certificate files of a host.
func filesOf(directory, host string) settings.TLS {
	return settings.TLS{
		Certificate: filepath.Join(directory, host+".pem"),
		Key:         filepath.Join(directory, host+"-key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
}

// issue returns the TLS configuration of a host.
func issue(t testing.TB, a *certs.Authority, host string) *tls.Config {
	return issueRoles(t, a, host, machine.Controller)
}

// issueRoles returns the TLS configuration of a host whose certificate gives
// it the roles.
func issueRoles(t testing.TB, a *certs.Authority, host string, roles ...machine.Role) *tls.Config {
	directory := t.TempDir()
	if err := a.WriteHost(directory, host, roles...); err != nil {
		t.Fatal(err)
	}
	files := filesOf(directory, host)
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.PEM)
	return MutualTLS(pair, roots)
}

// echo answers a status request with its argument and refuses the rest.
var echo = link.HandlerFunc(func(ctx context.Context, _ link.Link, q *wire.Envelope) (*wire.Envelope, error) {
	status := q.GetStatusRequest()
	switch {
	case status == nil:
		return nil, result.New(result.UnknownMessage, "only status").Retry(3 * time.Second)
	case status.Topic == "wait":
		<-ctx.Done()
	case status.Topic == "large":
		return reply(make([]byte, link.MaxMessageBytes+1)), nil
	}
	return reply([]byte(status.Argument)), nil
})

// reply returns a status reply.
func reply(raw []byte) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: &wire.StatusReply{Json: raw}}}
}

// ask returns a status request.
func ask(topic, argument string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: &wire.StatusRequest{Topic: topic, Argument: argument}}}
}

// listen listens on the loopback and returns the address and accepted links.
func listen(t testing.TB, n *Network) (string, <-chan link.Link) {
	accepted := make(chan link.Link, 512)
	address, stop, err := n.Listen("127.0.0.1:0", echo, func(l link.Link) { accepted <- l })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })
	return address, accepted
}

// TestCallsBothWays covers calls of either side over mutual TLS, failures with
// their code and time to retry, deadlines and oversize messages.
func TestCallsBothWays(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // after the listener's end
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	address, accepted := listen(t, networkOf("host-b", issue(t, a, "host-b")))
	near, err := networkOf("host-a", issue(t, a, "host-a")).Dial(context.Background(), address, echo)
	is.NoErr(err)
	far := <-accepted
	defer func() { _ = near.Close(); _ = far.Close(); <-far.Done() }()
	is.Equal(near.Peer().Host, machine.HostID("host-b"))
	is.Equal(far.Peer().ID(), "host-a/controller/0000000000000005")
	for _, l := range []link.Link{near, far} {
		got, err := l.Call(context.Background(), ask("echo", "hello"))
		is.NoErr(err)
		is.True(bytes.Equal(got.GetStatusReply().Json, []byte("hello")))
	}
	_, err = near.Call(context.Background(), &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: &wire.Cordon{}}})
	is.Equal(result.CodeOf(err), result.UnknownMessage)
	is.Equal(result.Of(err).RetryAfter, 3*time.Second)
	_, err = near.Call(context.Background(), ask("echo", string(make([]byte, link.MaxMessageBytes))))
	is.True(errors.Is(err, link.ErrTooLarge))
	_, err = near.Call(context.Background(), ask("large", ""))
	is.Equal(result.CodeOf(err), result.Internal) // the far side's failure to send it
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = near.Call(short, ask("wait", ""))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = near.Call(context.Background(), ask("echo", "still open"))
	is.NoErr(err)
	is.NoErr(far.Close())
	select {
	case <-near.Done():
	case <-time.After(generous):
		t.Fatal("the end of the link was not noticed")
	}
	_, err = near.Call(context.Background(), ask("echo", ""))
	is.True(errors.Is(err, link.ErrClosed))
}

// TestForeignPeersAreRefused covers a foreign authority, a certificate of
// another host, a missing certificate and a plaintext peer, from either side.
func TestForeignPeersAreRefused(t *testing.T) {
	is := is.New(t)
	ours, err := certs.NewAuthority()
	is.NoErr(err)
	foreign, err := certs.NewAuthority()
	is.NoErr(err)
	address, accepted := listen(t, networkOf("host-b", issue(t, ours, "host-b")))
	bare := issue(t, ours, "host-a")
	bare.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil // shows none
	}
	for name, n := range map[string]*Network{
		"foreign authority": networkOf("host-a", issue(t, foreign, "host-a")),
		"other host's name": networkOf("host-a", issue(t, ours, "host-c")),
		"no certificate":    networkOf("host-a", bare),
		"plaintext":         networkOf("host-a", nil),
	} {
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		l, err := n.Dial(ctx, address, echo)
		cancel()
		if err == nil {
			_ = l.Close()
			t.Errorf("%s: was let in", name)
		}
	}
	is.Equal(len(accepted), 0)
	impostor, _ := listen(t, networkOf("host-b", issue(t, foreign, "host-b")))
	_, err = networkOf("host-a", issue(t, ours, "host-a")).Dial(context.Background(), impostor, echo)
	is.True(err != nil) // the dialling side checks too
	is.Equal(result.CodeOf(err), result.LinkRefused)
}

// TestOtherVersionIsRefused covers a Hello of another protocol version and a
// first message that is too long.
func TestOtherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	n := networkOf("host-b", nil)
	address, accepted := listen(t, n)
	hello := link.HelloOf(networkOf("host-a", nil).Self)
	hello.Protocol = link.ProtocolVersion + 1
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(writeMessage(conn, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}, helloBytes))
	answer, err := readMessage(conn, helloBytes)
	is.NoErr(err)
	is.Equal(result.CodeOf(link.ErrorOf(answer)), result.LinkRefused)
	long, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = long.Close() }()
	_, err = long.Write([]byte{0xff, 0xff, 0xff, 0xff})
	is.NoErr(err)
	_ = long.SetReadDeadline(time.Now().Add(generous))
	answer, err = readMessage(long, helloBytes)
	is.NoErr(err)
	is.True(link.ErrorOf(answer) != nil)
	is.Equal(len(accepted), 0)
}

// BenchmarkLinkMemory measures the memory of both ends of a link together.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	for name, authority := range map[string]*certs.Authority{"plaintext": nil, "tls": a} {
		b.Run(name, func(b *testing.B) {
			var near, far *tls.Config
			if authority != nil {
				near, far = issue(b, authority, "host-a"), issue(b, authority, "host-b")
			}
			address, accepted := listen(b, networkOf("host-b", far))
			for b.Loop() {
				before := memory()
				var open []link.Link
				for range links {
					l, err := networkOf("host-a", near).Dial(context.Background(), address, echo)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := l.Call(context.Background(), ask("echo", "x")); err != nil {
						b.Fatal(err)
					}
					open = append(open, l, <-accepted)
				}
				b.ReportMetric(float64(memory()-before)/links, "B/link_both_ends")
				for _, l := range open {
					_ = l.Close()
				}
			}
		})
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkCallBytes measures the bytes that one call with a short request and
// reply puts on the wire, both ways together, TCP and IP headers left out, and
// the processor time of both ends and of the proxy between them.
func BenchmarkCallBytes(b *testing.B) {
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	address, accepted := listen(b, networkOf("host-b", issue(b, a, "host-b")))
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	var passed atomic.Int64
	go func() {
		near, err := proxy.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go pass(near, far, &passed)
		pass(far, near, &passed)
	}()
	l, err := networkOf("host-a", issue(b, a, "host-a")).Dial(context.Background(), proxy.Addr().String(), echo)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close(); _ = (<-accepted).Close() }()
	before, processor, calls := passed.Load(), processorTime(), 0
	for b.Loop() {
		if _, err := l.Call(context.Background(), ask("echo", "x")); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(passed.Load()-before)/float64(calls), "B/call")
	b.ReportMetric(float64((processorTime()-processor).Microseconds())/float64(calls), "cpu-us/call")
}

// processorTime returns the processor time of this test process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pass copies from one connection to the other and counts.
func pass(to, from net.Conn, passed *atomic.Int64) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		passed.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
