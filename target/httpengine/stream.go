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

// stream is an answer under way. Next is called by one goroutine; Close may
// be called by any.
type stream struct {
	client  *Client
	target  target.Target
	attempt string
	body    io.ReadCloser
	lines   *bufio.Scanner
	cancel  context.CancelFunc

	mu    sync.Mutex
	ended bool
	once  sync.Once
}

// firstLineBytes is the first size of the buffer for chunks.
const firstLineBytes = 4 << 10

// newStream returns the stream of a response body.
func newStream(c *Client, t target.Target, attempt string, body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, firstLineBytes), MaxLineBytes)
	return &stream{client: c, target: t, attempt: attempt, body: body, lines: lines, cancel: cancel}
}

// Next implements target.Stream. Chunks of other attempts are passed on as
// they came and never end the answer.
func (s *stream) Next() (target.Chunk, error) {
	if s.isEnded() {
		return target.Chunk{}, io.EOF
	}
	if !s.lines.Scan() {
		return target.Chunk{}, s.broken()
	}
	var wire Chunk
	if err := json.Unmarshal(s.lines.Bytes(), &wire); err != nil {
		return target.Chunk{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	chunk := target.Chunk(wire)
	if chunk.Attempt == s.attempt && (chunk.Done || chunk.KVHandle != "") {
		s.end()
	}
	return chunk, nil
}

// broken returns why the answer ended before its end marker.
func (s *stream) broken() error {
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrTooLong) {
		err = errLineTooLong
	}
	return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
}

// isEnded tells whether the end marker has come.
func (s *stream) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// end notes the end marker.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// Close implements target.Stream.
func (s *stream) Close() error {
	s.once.Do(s.close)
	return nil
}

// close frees the connection, or breaks it when the answer is not done.
func (s *stream) close() {
	if s.isEnded() {
		closeBody(s.body)
		s.cancel()
		return
	}
	s.cancel()
	_ = s.body.Close()
	s.client.cancelAttempt(s.target, s.attempt)
}
