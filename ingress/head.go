package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

// Errors of the head of a request, its request line and headers.
var (
	errHeadTooLarge = errors.New("ingress: head of the request is too large")
	errAmbiguous    = errors.New("ingress: length of the body is ambiguous")
	errMalformed    = errors.New("ingress: head of the request is malformed")
)

// peekHead waits until the reader's buffer holds a complete head and returns it without consuming
// it. A head of more than limit bytes is an error. The buffer must hold more than limit bytes.
func peekHead(r *bufio.Reader, limit int) ([]byte, error) {
	searched := 0
	for {
		if _, err := r.Peek(searched + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errHeadTooLarge
			}
			return nil, err
		}
		head, _ := r.Peek(r.Buffered()) // cannot fail
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			if end > limit {
				return nil, errHeadTooLarge
			}
			return head[:end+2], nil
		}
		if len(head) > limit {
			return nil, errHeadTooLarge
		}
		searched = len(head)
	}
}

// checkHead refuses heads that two parsers may read differently. With such a head, a caller could
// smuggle a second request to a target inside the body of the first.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n"), "\r\n")
	var lengths, codings, hosts int
	for _, line := range lines[1:] {
		if line == "" || line[0] == ' ' || line[0] == '\t' || strings.ContainsAny(line, "\r\n\x00") {
			return errMalformed
		}
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return errMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !allDigits(strings.TrimSpace(value)) {
				return errAmbiguous
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return errAmbiguous
			}
		case "host":
			hosts++
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return errAmbiguous
	}
	if hosts != 1 {
		return errMalformed
	}
	return nil
}

// allDigits tells whether s consists of one or more decimal digits.
func allDigits(s string) bool {
	if s == "" {
		return false
	}
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
