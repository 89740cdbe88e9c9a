package stricthttp

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Errors of reading a response.
var (
	// ErrMalformed means that what the server sent is no valid response.
	ErrMalformed = errors.New("stricthttp: malformed response")
	// ErrHeadTooLarge means that the heads of a response, informational ones and its trailer included, or a line
	// between its chunks are too large.
	ErrHeadTooLarge = errors.New("stricthttp: the head of the response exceeds 64 KiB")
	// ErrExtraBytes means that the server sent bytes after the end of a response.
	ErrExtraBytes = errors.New("stricthttp: bytes after the end of the response")
)

const (
	// maxHeadBytes bounds the heads and the trailer of a response.
	maxHeadBytes = 64 << 10
	// maxChunkLineBytes bounds the line before a chunk, with its extensions.
	maxChunkLineBytes = 4 << 10
)

// part is the part of a response that comes next.
type part int

// Parts of a response.
const (
	statusLine part = iota
	fieldLine
	content     // of a known length
	toEnd       // content that ends with the connection
	chunkLine   // size of the next chunk
	chunk       // content of a chunk
	chunkEnd    // line end after a chunk
	trailerLine // field after the last chunk
	complete
)

// scanner checks the bytes of one response as they come. It is stricter than net/http wherever two recipients may
// read a response differently: each line ends with CRLF, names are tokens, values have no control characters, and
// one field at most tells the length.
type scanner struct {
	method string // of the request
	next   part
	line   []byte // beginning of a line whose end has not come
	left   int64  // bytes of the content, or of the chunk, to come
	head   int    // bytes of heads and trailer so far

	status  int
	minor   byte // version of HTTP, '0' or '1'
	lengths int  // number of fields that tell a length
	length  int64
	codings int // number of fields that name a transfer coding
	err     error
}

// newScanner returns a scanner for the response to a request.
func newScanner(method string) *scanner { return &scanner{method: method} }

// headEnded tells whether the head of the final response has come.
func (s *scanner) headEnded() bool { return s.next != statusLine && s.next != fieldLine }

// scan checks further bytes of the response. It returns how many of them belong to it, all unless there is an error.
// An error is final.
func (s *scanner) scan(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.scanParts(p)
	s.err = err
	return n, err
}

// scanParts is scan without keeping the error.
func (s *scanner) scanParts(p []byte) (n int, err error) {
	for n < len(p) {
		switch s.next {
		case complete:
			return n, ErrExtraBytes
		case toEnd:
			return len(p), nil
		case content, chunk:
			taken := min(s.left, int64(len(p)-n))
			n += int(taken)
			if s.left -= taken; s.left > 0 {
				break
			}
			if s.next == chunk {
				s.next = chunkEnd
			} else {
				s.next = complete
			}
		default:
			taken, err := s.scanLine(p[n:])
			if err != nil {
				return n, err
			}
			n += taken
		}
	}
	return n, nil
}

// scanLine checks bytes up to the end of a line. It returns their number.
func (s *scanner) scanLine(p []byte) (int, error) {
	n := len(p)
	end := bytes.IndexByte(p, '\n')
	if end >= 0 {
		n = end + 1
	}
	limit := maxHeadBytes
	if s.next == chunkLine || s.next == chunkEnd {
		limit = maxChunkLineBytes
	} else {
		s.head += n
	}
	if s.head > maxHeadBytes || len(s.line)+n > limit {
		return 0, ErrHeadTooLarge
	}
	s.line = append(s.line, p[:n]...)
	if end < 0 {
		return n, nil
	}
	line, ended := bytes.CutSuffix(s.line, []byte("\r\n"))
	if !ended {
		return 0, malformed("line that ends without CR", s.line)
	}
	err := s.endLine(string(line))
	s.line = s.line[:0]
	return n, err
}

// endLine handles a complete line.
func (s *scanner) endLine(line string) error {
	switch s.next {
	case statusLine:
		return s.readStatus(line)
	case fieldLine:
		if line == "" {
			return s.endHead()
		}
		return s.readField(line)
	case chunkLine:
		return s.readChunkSize(line)
	case chunkEnd:
		if line != "" {
			return malformed("chunk longer than its size", []byte(line))
		}
		s.next = chunkLine
	case trailerLine:
		if line == "" {
			s.next = complete
			return nil
		}
		_, _, err := splitField(line)
		return err
	}
	return nil
}

// readStatus reads a status line. The version is 1.0 or 1.1, and the status one that a server may send.
func (s *scanner) readStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	switch {
	case version != "HTTP/1.0" && version != "HTTP/1.1", !isValue(reason):
		return malformed("status line", []byte(line))
	case err != nil, len(code) != 3, status < 100, status > 599, status == http.StatusSwitchingProtocols:
		return malformed("status", []byte(line))
	}
	s.status, s.minor = status, version[len(version)-1]
	s.lengths, s.length, s.codings = 0, 0, 0
	s.next = fieldLine
	return nil
}

// readField reads a field of the head and takes in what it tells of the length.
func (s *scanner) readField(line string) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch strings.ToLower(name) {
	case "content-length":
		s.lengths++
		if s.length, err = strconv.ParseInt(value, 10, 64); err != nil || !isDigits(value) {
			return malformed("Content-Length", []byte(line))
		}
	case "transfer-encoding":
		s.codings++
		if !strings.EqualFold(value, "chunked") {
			return malformed("Transfer-Encoding", []byte(line))
		}
	}
	return nil
}

// endHead decides how the content is framed.
func (s *scanner) endHead() error {
	s.line = nil // a head may have had a long line
	bodyless := s.status < 200 || s.status == http.StatusNoContent
	switch {
	case s.lengths+s.codings > 1:
		return malformed("length that is told more than once", nil)
	case s.codings > 0 && (s.minor == '0' || bodyless), s.length > 0 && bodyless:
		return malformed("length that a response of its version or status cannot have", nil)
	case s.status < 200:
		s.next = statusLine
	case bodyless, s.status == http.StatusNotModified, s.method == http.MethodHead, s.lengths > 0 && s.length == 0:
		s.next = complete
	case s.codings > 0:
		s.next = chunkLine
	case s.lengths > 0:
		s.next, s.left = content, s.length
	default:
		s.next = toEnd
	}
	return nil
}

// readChunkSize reads the line before a chunk.
func (s *scanner) readChunkSize(line string) error {
	size, extensions, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(size, 16, 64)
	if err != nil || n > math.MaxInt64 || strings.ContainsAny(size, "+_xX") || !isValue(extensions) {
		return malformed("size of a chunk", []byte(line))
	}
	if s.next, s.left = chunk, int64(n); n == 0 {
		s.next = trailerLine
	}
	return nil
}

// splitField splits a field line into its name and value.
func splitField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) || !isValue(value) {
		return "", "", malformed("field", []byte(line))
	}
	return name, strings.Trim(value, " \t"), nil
}

// tokenMarks are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken tells whether a name is a token.
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return name != ""
}

// isValue tells whether a text has no control character but tabs.
func isValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isDigits tells whether a text consists of decimal digits.
func isDigits(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }

// maxQuotedBytes bounds what an error quotes of a response.
const maxQuotedBytes = 80

// malformed returns ErrMalformed with what is wrong, and the line at fault if there is one.
func malformed(what string, line []byte) error {
	if line == nil {
		return fmt.Errorf("%w: %s", ErrMalformed, what)
	}
	return fmt.Errorf("%w: %s %.*q", ErrMalformed, what, maxQuotedBytes, line)
}
