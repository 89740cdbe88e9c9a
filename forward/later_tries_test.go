package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"zinniapin/internal/standin/faulty"
	"zinniapin/internal/standin/prepared"
)

// ways are the ways to a target.
var ways = map[string]bool{"own links": false, "another host": true}

// failedTries returns the answers of so many tries before one that matters.
func failedTries(n int) []faulty.Answer {
	all := []faulty.Answer{
		{Name: "fails", Text: framed("500 Internal Server Error", lastRequest, "trouble")[faulty.ByLength]},
		{Name: "breaks off", Text: strings.TrimSuffix(framed("200 OK", lastRequest, "trouble")[faulty.ByLength], "ble")},
		{Name: "refuses", Text: framed("503 Service Unavailable", lastRequest+"X-Not-Executed: 1\r\n", "")[faulty.ByLength]},
	}
	return all[:n]
}

// checkPlain fails the test if a caller got something else than the whole answer of a sound target, a failure of a target
// as that target sent it, or a failure of the host.
func checkPlain(t *testing.T, a callResult) {
	t.Helper()
	whole := a.err == nil && a.status == http.StatusOK && a.body == sequenceBody
	failed := a.err == nil && a.status >= 500 && a.status < 600 && (a.header.Get("X-Response-Signature") == "" || a.status == 500 && a.body == "trouble")
	if !whole && !failed {
		t.Errorf("status %d, header %v, body %q, error %v", a.status, a.header, a.body, a.err)
	}
}

// Guards against a target that stops inside the head or the body of its answer, or sends a malformed one, whose part is taken
// for the whole answer (MIXED), whichever try it is.
func TestNoTryPassesOnAPartOfAPlainAnswer(t *testing.T) {
	faults := append(append(faulty.CutHeads(sequenceFields, sequenceBody), faulty.CutBodies(sequenceFields, sequenceBody)...), faulty.Malformed(sequenceFields, sequenceBody)...)
	for way, through := range ways {
		for before := range sequenceTries {
			played := faults
			if before > 0 {
				played = faulty.Some(faults, before)
			}
			t.Run(fmt.Sprintf("%s, after %d tries", way, before), func(t *testing.T) {
				for _, fault := range played {
					t.Run(fault.Name, func(t *testing.T) {
						t.Parallel()
						a, asked := callSequence(t, false, through, "p", append(failedTries(before), fault)...)
						checkPlain(t, a)
						if asked <= before {
							t.Errorf("%d targets were asked: status %d, header %v, body %q, error %v", asked, a.status, a.header, a.body, a.err)
						}
					})
				}
			})
		}
	}
}

// Guards against a part of an answer that is taken for the whole when a target answers a long upload at once, and ends the
// connection while the upload is being written (MIXED), whichever try it is.
func TestNoTryPassesOnAnAnswerThatEndsDuringTheUpload(t *testing.T) {
	upload := strings.Repeat("p", faulty.UploadBytes)
	for way, through := range ways {
		t.Run(way, func(t *testing.T) {
			for before := range 3 {
				for name, end := range faulty.Ends {
					for framing, text := range framed("200 OK", "", sequenceBody) {
						if framing == faulty.ByLength {
							continue // the length tells whether the answer is whole
						}
						for _, cut := range []int{0, 1, 7} {
							fault := faulty.Answer{Text: text[:len(text)-cut], Early: true, End: end}
							t.Run(fmt.Sprintf("%s, %s, %d bytes less, after %d tries", name, framing, cut, before), func(t *testing.T) {
								a, _ := callSequence(t, false, through, upload, append(failedTries(before), fault)...)
								checkPlain(t, a)
							})
						}
					}
				}
			}
		})
	}
}

// Guards against an answer too long to be held back that breaks off after a part of it was passed on, and is taken for whole.
func TestNoTryEndsALongAnswerThatBreaksOff(t *testing.T) {
	body := strings.Repeat(sequenceBody, 60_000) // more than is read before any of it is passed on
	for way, through := range ways {
		for before := range 2 {
			for _, framing := range faulty.Framings {
				for _, less := range []int{1, 10, 100_000, 200_000} {
					for name, end := range map[string]func(*net.TCPConn){"cut": nil, "reset": faulty.Reset} {
						if framing == faulty.ByClose && end == nil {
							continue // an orderly end of the connection is its end
						}
						t.Run(fmt.Sprintf("%s, after %d tries, %s, %s, %d bytes less", way, before, framing, name, less), func(t *testing.T) {
							t.Parallel()
							text := framed("200 OK", "", body)[framing]
							a, _ := callSequence(t, false, through, "p", append(failedTries(before), faulty.Answer{Text: text[:len(text)-less], End: end})...)
							if a.err == nil && a.body != sequenceBody {
								t.Errorf("status %d, %d bytes, no error", a.status, len(a.body))
							}
						})
					}
				}
			}
		}
	}
}

// breaks returns ways in which a stream breaks off after its first event.
func breaks() []faulty.Answer {
	one, half := prepared.Event(1, ""), "id: 2\ndata: to"
	const fields = "Content-Type: text/event-stream\r\nConnection: close\r\n"
	chunked, closed := framed("200 OK", fields, one+half)[faulty.ByChunks], framed("200 OK", fields, one+half)[faulty.ByClose]
	return []faulty.Answer{
		{Name: "chunks, inside an event", Text: strings.TrimSuffix(chunked, "\r\n0\r\n\r\n")},
		{Name: "chunks, inside an event, with the last chunk", Text: chunked},
		{Name: "chunks, after an event", Text: strings.TrimSuffix(framed("200 OK", fields, one)[faulty.ByChunks], "0\r\n\r\n")},
		{Name: "close, inside an event", Text: closed},
		{Name: "close, reset", Text: closed, End: faulty.Reset},
	}
}

// notAStream returns answers that are no continuation of a stream.
func notAStream() []faulty.Answer {
	var all []faulty.Answer
	texts := []string{
		"", "trouble", "trouble\n", "trouble\n\n", "Internal Server Error\n\nat line 1\n\n", "\n\ntrouble\n\n", "\r\n\r\ntrouble\r\n\r\n",
		"<html><body>\n\n<h1>502 Bad Gateway</h1>\n\n</body></html>\n\n", `{"error":"trouble"}` + "\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\ntrouble\n\n",
		"error: trouble\n\n", "Date: today\nServer: s\n\n", "id: 2\ndata: token 2\nServer: s\n\n", "id: 2\ndata: token 2\ntrouble\n\n",
		": trouble\n\n", "data: trouble\n\n", "event: error\ndata: trouble\n\n", "id: x\ndata: trouble\n\n", "id\ndata: trouble\n\n", "id: 9\ndata: trouble\n\n",
		prepared.Event(2, "") + "trouble\n\n", prepared.Event(2, "") + "trouble", prepared.Event(2, "") + `{"error":"trouble"}` + "\n\n" + prepared.Event(3, ""),
		prepared.Event(2, "") + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" + prepared.Event(3, ""),
	}
	for _, status := range []string{"200 OK", "204 No Content", "206 Partial Content", "302 Found", "400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "599 Trouble"} {
		for i, text := range texts {
			switch {
			case strings.HasPrefix(status, "204"):
				text = ""
				if i > 0 {
					continue
				}
			case !strings.HasPrefix(status, "200") && i != 3 && i != 9 && i != len(texts)-1:
				continue
			}
			for _, framing := range faulty.Framings {
				if strings.HasPrefix(status, "204") && framing != faulty.ByClose {
					continue // it has no length and no chunks
				}
				all = append(all, faulty.Answer{Name: fmt.Sprintf("%s, %s, %d: %.20q", status, framing, i, text), Text: framed(status, "", text)[framing]})
			}
		}
	}
	for _, kind := range []string{"text/html", "text/plain; charset=utf-8", "application/json"} {
		events := prepared.Event(2, "") + prepared.Event(3, "") + prepared.Event(4, "")
		for _, framing := range faulty.Framings {
			all = append(all, faulty.Answer{Name: kind + ", " + framing, Text: framed("200 OK", "Content-Type: "+kind+"\r\n", events)[framing]})
		}
	}
	return all
}

// checkStream fails the test if a caller got something else than whole events of the stream, in order, or a stream that
// shows as complete and is not. A request of which no event came may end with a failure.
func checkStream(t *testing.T, a callResult) {
	t.Helper()
	if a.status != http.StatusOK {
		if a.err != nil || a.status < 500 || a.status > 599 {
			t.Errorf("status %d, body %q, error %v", a.status, a.body, a.err)
		}
		return
	}
	beginning, all := wholeEvents(a.body)
	if !beginning || a.err == nil && !all {
		t.Errorf("body %q, error %v", a.body, a.err)
	}
}

// Guards against the text, or the head, of a target's error between the events of a caller's stream, and against a stream
// that ends as if it were complete, when one target has broken off and the next one answers with an error, stops inside its
// head or sends a malformed answer (ORDER, MIXED), whichever try it is.
func TestNoTryPutsAnythingButEventsIntoAStream(t *testing.T) {
	faults := append(append(faulty.CutHeads(sequenceFields, prepared.Event(2, "")), faulty.Malformed(sequenceFields, prepared.Event(2, ""))...), notAStream()...)
	for way, through := range ways {
		for i, begun := range breaks() {
			for before := range 2 {
				played := faults
				if i+before > 0 {
					played = faulty.Some(faults, 2*i+before)
				}
				t.Run(fmt.Sprintf("%s, %s, %d more tries", way, begun.Name, before), func(t *testing.T) {
					for _, fault := range played {
						t.Run(fault.Name, func(t *testing.T) {
							t.Parallel()
							a, asked := callSequence(t, true, through, "p", append(append([]faulty.Answer{begun}, failedTries(before)...), fault)...)
							checkStream(t, a)
							if asked > 2+before && (a.err != nil || a.body != expectedStream(sequenceEvents)) {
								t.Errorf("a sound target was asked: body %q, error %v", a.body, a.err)
							}
							if asked < 2+before {
								t.Errorf("%d targets were asked: status %d, header %v, body %q, error %v", asked, a.status, a.header, a.body, a.err)
							}
						})
					}
				})
			}
		}
	}
}

// The same for a stream that has not begun, and for one whose own target sends what is no event.
func TestNoStreamBeginsWithAnythingButEvents(t *testing.T) {
	var faults []faulty.Answer
	for _, fault := range append(append(faulty.CutHeads(sequenceFields, prepared.Event(1, "")), faulty.Malformed(sequenceFields, prepared.Event(1, ""))...), notAStream()...) {
		fault.Text = strings.NewReplacer("id: 2\ndata: token 2", "id: 1\ndata: token 1", "id: 3\ndata: token 3", "id: 2\ndata: token 2", "id: 4\ndata: token 4", "id: 3\ndata: token 3").Replace(fault.Text)
		faults = append(faults, fault)
	}
	for way, through := range ways {
		for before := range 3 {
			played := faults
			if before > 0 {
				played = faulty.Some(faults, before)
			}
			t.Run(fmt.Sprintf("%s, after %d tries", way, before), func(t *testing.T) {
				for _, fault := range played {
					own := strings.Contains(fault.Text, ": trouble") && !strings.Contains(fault.Text, "error: ") || strings.HasSuffix(fault.Name, `: ""`)
					if own {
						continue // an event or a comment of the target, or a stream without events
					}
					t.Run(fault.Name, func(t *testing.T) {
						t.Parallel()
						a, _ := callSequence(t, true, through, "p", append(failedTries(before), fault)...)
						checkStream(t, a)
					})
				}
			})
		}
	}
}
