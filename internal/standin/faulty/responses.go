// Package faulty plays servers that break HTTP/1.1: they send malformed responses, end connections in the middle of a
// request, and send a response once more.
package faulty

import (
	"fmt"
	"strings"
)

// Response is a malformed response. Lenient recipients accept many of them, each in its own way.
type Response struct {
	Name string
	// Bytes are what the server sends before it closes the connection.
	Bytes string
	// AfterBody is set if the fault comes after the head and all of the body.
	AfterBody bool
}

// Responses returns malformed responses with some valid fields and a body. Apart from their fault each is complete.
func Responses(fields, body string) []Response {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	size := fmt.Sprintf("%x", len(body))
	chunks := func(line string) string { return line + body + "\r\n0\r\n\r\n" }
	const coding = "Transfer-Encoding: chunked\r\n"
	var all []Response
	addWhole := func(name, text string) { all = append(all, Response{name, text, false}) }
	add := func(name, status, head, content string) {
		addWhole(name, status+"\r\n"+fields+head+"\r\n"+content)
	}
	addAfterBody := func(name, content string) {
		all = append(all, Response{name, "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + content, true})
	}
	const ok = "HTTP/1.1 200 OK"
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble",
		"HTTP/1.1 +20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1  200 OK", "HTTP/1.1 20x OK", "HTTP/1.1 200\x01 OK", "HTTP/1.1 200 O\x00K",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK", "HTTP/1 200 OK", "HTTP/1.1\t200 OK", "HTTP 200 OK",
	} {
		add(fmt.Sprintf("status line %q", line), line, length, body)
	}
	for _, field := range []string{
		"X-No te: 1", "X-Note : 1", "X-Note\t: 1", " X-Note: 1", "\tX-Note: 1", "X-\x01Note: 1", "X-No\x00te: 1", "X-Note\x7f: 1", "X-Note\x0b: 1", "X-Nöte: 1", "X(Note): 1", "X/Note: 1",
		": 1", "X-Note", "X-Note: a\x01b", "X-Note: a\x00b", "X-Note: a\x7fb", "X-Note: a\rb", "X-Note: a\nX-Other: b", "X-Note: a\r\n b",
	} {
		add(fmt.Sprintf("field %q", field), ok, field+"\r\n"+length, body)
	}
	add("field that begins with a line feed", ok, "\n"+length, body)
	add("line ends without CR", ok, strings.ReplaceAll(length, "\r", ""), body)
	for _, value := range []string{
		"+LEN", "-LEN", "LEN, LEN", "LEN,", "0xLEN", "LEN LEN", "LEN.0", "", "99999999999999999999", "LEN\r\nContent-Length: LEN", "LEN\r\nContent-Length: 1", "LEN\r\ncontent-length: LEN",
	} {
		add(fmt.Sprintf("Content-Length %q", value), ok, "Content-Length: "+strings.ReplaceAll(value, "LEN", fmt.Sprint(len(body)))+"\r\n", body)
	}
	add("Content-Length with a blank before the colon", ok, strings.Replace(length, ":", " :", 1), body)
	add("Content-Length with a blank inside", ok, strings.Replace(length, "-", " ", 1), body)
	for _, value := range []string{"gzip, chunked", "chunked, chunked", "identity", "chunked;q=1", "xchunked", "", "chunked\r\nTransfer-Encoding: chunked"} {
		add(fmt.Sprintf("Transfer-Encoding %q", value), ok, "Transfer-Encoding: "+value+"\r\n", chunks(size+"\r\n"))
	}
	add("Transfer-Encoding with a blank before the colon", ok, strings.Replace(coding, ":", " :", 1), chunks(size+"\r\n"))
	add("both lengths, content", ok, length+coding, body)
	add("both lengths, chunks", ok, coding+length, chunks(size+"\r\n"))
	add("chunks in HTTP/1.0", "HTTP/1.0 200 OK", coding, chunks(size+"\r\n"))
	for _, line := range []string{"+SIZE", "-SIZE", "0xSIZE", " SIZE", "SIZE ", "", "g", "10000000000000000SIZE", "SIZE;a=\x01", "SIZE\n"} {
		add(fmt.Sprintf("chunk size %q", line), ok, coding, chunks(strings.ReplaceAll(line, "SIZE", size)+"\r\n"))
	}
	add("chunk size that ends without CR", ok, coding, chunks(size+"\n"))
	addAfterBody("chunk longer than its size", "x\r\n0\r\n\r\n")
	addAfterBody("last chunk that ends without CR", "\r\n0\n\n")
	addAfterBody("trailer with a blank in a name", "\r\n0\r\nX No: 1\r\n\r\n")
	addAfterBody("trailer with a control byte", "\r\n0\r\nX-No: \x01\r\n\r\n")
	add("length with 204", "HTTP/1.1 204 No Content", length, body)
	add("chunks with 204", "HTTP/1.1 204 No Content", coding, chunks(size+"\r\n"))
	addWhole("length in an informational response", "HTTP/1.1 103 Early Hints\r\n"+length+"\r\n"+body+ok+"\r\n"+fields+length+"\r\n"+body)
	addWhole("status 000 before a valid response", "HTTP/1.1 000 Trouble\r\n\r\n"+ok+"\r\n"+fields+length+"\r\n"+body)
	addWhole("blank line before the status line", "\r\n"+ok+"\r\n"+fields+length+"\r\n"+body)
	return all
}
