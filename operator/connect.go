package operator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/link"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/store/httpstore"
	"zinniapin/wire"
)

// Dial returns a backend that reaches the object API over HTTP and the controllers over
// links. The operator's name in the settings is used as its host name on links, so its
// certificate must be issued for that name.
func Dial(s *settings.Operator) (*Backend, error) {
	nop := zerolog.Nop()
	self := machine.Process{Host: machine.HostID(s.Name), Role: machine.Operator, Incarnation: rand.Uint64()}
	certificates, err := yamuxlink.LoadCertificates(s.TLS, self, &nop)
	if err != nil {
		return nil, err
	}
	network := &yamuxlink.Network{
		Self: self,
		TLS:  certificates.TLS(),
		Log:  &nop,
	}
	timeout := time.Duration(s.TimeoutMillis) * time.Millisecond
	status := &linkStatusReader{network: network, addresses: s.Controllers}
	return &Backend{
		Store:   httpstore.New(s.Objects, timeout),
		Status:  status,
		Author:  s.Name,
		Timeout: timeout,
		Close:   status.close,
	}, nil
}

// linkStatusReader implements StatusReader over links to controllers. It is not safe
// for concurrent use.
type linkStatusReader struct {
	network   link.Network
	addresses []string
	current   link.Link
}

// refuseCalls refuses every call of a controller: zinniactl only makes calls.
var refuseCalls = link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, result.New(result.BadUsage, "an operator's command serves no calls")
})

// Status implements StatusReader.
func (l *linkStatusReader) Status(ctx context.Context, topic, argument string) ([]byte, error) {
	to, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return requestStatus(ctx, to, topic, argument)
}

// StatusOfAll implements StatusReader. It opens a link to each controller and closes it
// after the reply.
func (l *linkStatusReader) StatusOfAll(ctx context.Context, topic, argument string) []Reply {
	replies := make([]Reply, len(l.addresses))
	var pending sync.WaitGroup
	for i, address := range l.addresses {
		pending.Go(func() {
			document, err := l.statusFrom(ctx, address, topic, argument)
			replies[i] = Reply{address, document, err}
		})
	}
	pending.Wait()
	return replies
}

// statusFrom requests a status document from the controller at an address, over a link
// that is opened for this request only.
func (l *linkStatusReader) statusFrom(ctx context.Context, address, topic, argument string) ([]byte, error) {
	to, err := l.network.Dial(ctx, address, refuseCalls)
	if err != nil {
		return nil, err
	}
	defer func() { _ = to.Close() }()
	return requestStatus(ctx, to, topic, argument)
}

// requestStatus requests a status document over a link.
func requestStatus(ctx context.Context, to link.Link, topic, argument string) ([]byte, error) {
	request := &wire.StatusRequest{Topic: topic, Argument: argument}
	reply, err := to.Call(ctx, &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: request}})
	if err != nil {
		return nil, err
	}
	return reply.GetStatusReply().GetJson(), nil
}

// connect returns the current link if it is open, and otherwise opens one to the first
// controller that accepts it.
func (l *linkStatusReader) connect(ctx context.Context) (link.Link, error) {
	if l.current != nil {
		select {
		case <-l.current.Done():
		default:
			return l.current, nil
		}
	}
	var lastErr error
	for _, address := range l.addresses {
		opened, err := l.network.Dial(ctx, address, refuseCalls)
		if err == nil {
			l.current = opened
			return opened, nil
		}
		lastErr = err
	}
	return nil, result.Wrap(lastErr, result.NoController, "no controller answers")
}

// close closes the current link, if any.
func (l *linkStatusReader) close() {
	if l.current != nil {
		_ = l.current.Close()
	}
}
