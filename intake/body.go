package intake

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("intake: the body is too large")

// Reserver counts bytes that are held, as Conn does.
type Reserver interface {
	Reserve(n int64) error
	Release(n int64)
	Evicted() bool
}

// firstBodyBytes is the size of the first buffer for a body.
const firstBodyBytes = 16 << 10

// ReadBody reads a body of length bytes, or of unknown length if that is negative, in buffers that grow with what has
// arrived. c, which may be a nil *Conn, counts the capacity of the result until it is released. The error is
// ErrTooLarge, ErrFull, ErrEvicted or one of the reader; nothing is counted then.
func ReadBody(c Reserver, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one more byte shows that a body of unknown length is too large
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) && int64(cap(body)) < most {
			grown, err := grow(c, body, min(most, max(firstBodyBytes, 2*int64(cap(body)))))
			if err != nil {
				c.Release(int64(cap(body)))
				return nil, err
			}
			body = grown
		}
		if length >= 0 && int64(len(body)) == length {
			return body, nil
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			err = ErrTooLarge
		case err == nil, length >= 0 && int64(len(body)) == length:
			continue
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		case c.Evicted():
			err = ErrEvicted
		}
		c.Release(int64(cap(body)))
		return nil, err
	}
}

// grow returns a copy of a body with another capacity. Both are counted while the bytes are copied.
func grow(c Reserver, body []byte, capacity int64) ([]byte, error) {
	if err := c.Reserve(capacity); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, capacity), body...)
	c.Release(int64(cap(body)))
	return grown, nil
}
