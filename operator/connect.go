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

// Dial makes the backend from settings: the object API over HTTP and the
// controllers over links. The host of the operator is the name in its
// certificate, which must be the operator's name.
func Dial(s *settings.Operator) (*Backend, error) {
	quiet := zerolog.Nop()
	self := machine.Process{Host: machine.HostID(s.Name), Role: machine.Operator, Incarnation: rand.Uint64()}
	certificates, err := yamuxlink.LoadCertificates(s.TLS, self, &quiet)
	if err != nil {
		return nil, err
	}
	network := &yamuxlink.Network{
		Self: self,
		TLS:  certificates.TLS(),
		Log:  &quiet,
	}
	timeout := time.Duration(s.TimeoutMillis) * time.Millisecond
	status := &linkStatus{network: network, addresses: s.Controllers}
	return &Backend{
		Store:   httpstore.New(s.Objects, timeout),
		Status:  status,
		Author:  s.Name,
		Timeout: timeout,
		Close:   status.close,
	}, nil
}

// linkStatus reads status over a link to the first controller that answers.
type linkStatus struct {
	network   link.Network
	addresses []string
	open      link.Link
}

// refuseCalls serves no calls: an operator only asks.
var refuseCalls = link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, result.New(result.BadUsage, "an operator's command serves no calls")
})

// Status implements StatusReader.
func (l *linkStatus) Status(ctx context.Context, topic, argument string) ([]byte, error) {
	to, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return ask(ctx, to, topic, argument)
}

// StatusOfAll implements StatusReader. Its links are closed at once.
func (l *linkStatus) StatusOfAll(ctx context.Context, topic, argument string) []Reply {
	replies := make([]Reply, len(l.addresses))
	var asked sync.WaitGroup
	for i, address := range l.addresses {
		asked.Go(func() {
			document, err := l.askOne(ctx, address, topic, argument)
			replies[i] = Reply{address, document, err}
		})
	}
	asked.Wait()
	return replies
}

// askOne asks the controller at an address over a link of its own.
func (l *linkStatus) askOne(ctx context.Context, address, topic, argument string) ([]byte, error) {
	to, err := l.network.Dial(ctx, address, refuseCalls)
	if err != nil {
		return nil, err
	}
	defer func() { _ = to.Close() }()
	return ask(ctx, to, topic, argument)
}

// ask asks for a status document over a link.
func ask(ctx context.Context, to link.Link, topic, argument string) ([]byte, error) {
	request := &wire.StatusRequest{Topic: topic, Argument: argument}
	reply, err := to.Call(ctx, &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: request}})
	if err != nil {
		return nil, err
	}
	return reply.GetStatusReply().GetJson(), nil
}

// connect returns the open link, or opens one to the first controller that
// takes it.
func (l *linkStatus) connect(ctx context.Context) (link.Link, error) {
	if l.open != nil {
		select {
		case <-l.open.Done():
		default:
			return l.open, nil
		}
	}
	var lastErr error
	for _, address := range l.addresses {
		opened, err := l.network.Dial(ctx, address, refuseCalls)
		if err == nil {
			l.open = opened
			return opened, nil
		}
		lastErr = err
	}
	return nil, result.Wrap(lastErr, result.NoController, "no controller answers")
}

// close ends the open link.
func (l *linkStatus) close() {
	if l.open != nil {
		_ = l.open.Close()
	}
}
