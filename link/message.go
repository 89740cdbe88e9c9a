package link

import (
	"errors"
	"time"

	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
	"zinniapin/zone"
)

// HelloOf returns the Hello by which a process introduces itself on a new link.
func HelloOf(p machine.Process) *wire.Hello {
	return &wire.Hello{
		Host:        string(p.Host),
		Role:        string(p.Role),
		Incarnation: p.Incarnation,
		Zone:        string(p.Zone.Name),
		Region:      string(p.Zone.Region),
		Address:     p.Address,
		Protocol:    ProtocolVersion,
	}
}

// ProcessOf returns the process that a Hello describes. The error is a
// result.LinkRefused when the Hello is incomplete or has another protocol
// version.
func ProcessOf(h *wire.Hello) (machine.Process, error) {
	if h == nil {
		return machine.Process{}, result.New(result.LinkRefused, "the first message is not a Hello")
	}
	if h.Protocol != ProtocolVersion {
		return machine.Process{}, result.New(result.LinkRefused, "protocol version %d, want %d", h.Protocol, ProtocolVersion)
	}
	if h.Host == "" || h.Role == "" {
		return machine.Process{}, result.New(result.LinkRefused, "the Hello has no host or no role")
	}
	return machine.Process{
		Host:        machine.HostID(h.Host),
		Role:        machine.Role(h.Role),
		Incarnation: h.Incarnation,
		Zone:        zone.Zone{Name: zone.Name(h.Zone), Region: zone.Region(h.Region)},
		Address:     h.Address,
	}, nil
}

// FailureOf returns the reply that reports an error to a peer.
func FailureOf(err error) *wire.Envelope {
	f := &wire.Failure{Code: int32(result.Internal), Message: err.Error()}
	if e := result.Of(err); e != nil {
		f.Code = int32(e.Code)
		f.Message = e.Message
		f.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return &wire.Envelope{Body: &wire.Envelope_Failure{Failure: f}}
}

// ErrorOf returns the error that a reply reports, or nil if it is no Failure.
func ErrorOf(reply *wire.Envelope) error {
	f := reply.GetFailure()
	if f == nil {
		return nil
	}
	e := result.New(result.Code(f.Code), "%s", f.Message)
	return e.Retry(time.Duration(f.RetryAfterMs) * time.Millisecond)
}

// CallError wraps a transport error with result.LinkFailed, so that errors.Is
// still finds ErrTooLarge and ErrClosed. Errors with a result code stay as they
// are.
func CallError(err error) error {
	var coded *result.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return result.Wrap(err, result.LinkFailed, "the call failed")
}
