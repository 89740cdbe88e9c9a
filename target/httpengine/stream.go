package httpengine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"zinniapin/target"
)

// stream is an engine's answer in progress. Next must be called by one goroutine; Close may
// be called by any.
type stream struct {
	client  *Client
	target  target.Target
	attempt string
	body    io.ReadCloser
	lines   *bufio.Scanner
	cancel  context.CancelFunc

	mu   sync.Mutex
	done bool
	once sync.Once
}

// initialLineBytes is the initial size of the buffer for a chunk.
const initialLineBytes = 4 << 10

// newStream returns a stream that reads chunks from a response body.
func newStream(c *Client, t target.Target, attempt string, body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), MaxLineBytes)
	return &stream{client: c, target: t, attempt: attempt, body: body, lines: lines, cancel: cancel}
}

// Next implements target.Stream. It returns chunks of other attempts unchanged; they never
// end the stream.
func (s *stream) Next() (target.Chunk, error) {
	if s.isDone() {
		return target.Chunk{}, io.EOF
	}
	if !s.lines.Scan() {
		return target.Chunk{}, s.incompleteError()
	}
	var wire Chunk
	if err := json.Unmarshal(s.lines.Bytes(), &wire); err != nil {
		return target.Chunk{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	chunk := target.Chunk(wire)
	if chunk.Attempt == s.attempt && (chunk.Done || chunk.KVHandle != "") {
		s.markDone()
	}
	return chunk, nil
}

// incompleteError returns why the answer ended before its end marker.
func (s *stream) incompleteError() error {
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrTooLong) {
		err = errLineTooLong
	}
	return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
}

// isDone tells whether the end marker has been received.
func (s *stream) isDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// markDone records that the end marker has been received.
func (s *stream) markDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
}

// Close implements target.Stream.
func (s *stream) Close() error {
	s.once.Do(s.close)
	return nil
}

// close returns the connection for reuse if the answer has ended; otherwise it breaks the
// connection and cancels the attempt.
func (s *stream) close() {
	if s.isDone() {
		closeBody(s.body)
		s.cancel()
		return
	}
	s.cancel()
	_ = s.body.Close()
	s.client.cancelAttempt(s.target, s.attempt)
}
