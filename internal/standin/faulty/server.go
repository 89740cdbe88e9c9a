package faulty

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UploadBytes is the size of a request that takes a while to write, since it exceeds what sockets hold.
const UploadBytes = 6 << 20

const (
	// receiveBufferBytes is the receive buffer of a server, small so that uploads are not taken in by the kernel.
	receiveBufferBytes = 4 << 10
	// settleTime is the time for bytes to arrive before the connection ends.
	settleTime = 50 * time.Millisecond
	// halfClosedTime is how long a connection stays half closed.
	halfClosedTime = time.Second
)

// Server accepts connections on loopback.
type Server struct {
	Address  string
	listener net.Listener
}

// Start starts a server that passes each connection to serve and closes it afterwards.
func Start(serve func(c *net.TCPConn)) *Server {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // uploads are long enough without, too
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // listening on loopback works on every machine that runs the tests
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // the other end is gone
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return &Server{l.Addr().String(), l}
}

// Close closes the listener; open connections stay open.
func (s *Server) Close() { _ = s.listener.Close() }

// respond writes a response to a request. ID in it stands for the id of the request.
func respond(c net.Conn, response string, request *http.Request) {
	_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", request.Header.Get("X-Request-Id"))) // the client may have left
}

// Respond returns a server's function that answers one request of a connection.
func Respond(response string) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		respond(c, response, request)
	}
}

// Ends are ways to end a connection while a request is being written, by name.
var Ends = map[string]func(*net.TCPConn){
	"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0) },
	"closed with unread bytes": func(*net.TCPConn) {},
	"half closed": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(halfClosedTime)
	},
}

// RespondEarly returns a server's function that answers a request as soon as its head has come, and ends the connection
// while the body is being written.
func RespondEarly(response string, end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		respond(c, response, request)
		time.Sleep(settleTime)
		end(c)
	}
}

// Copier refuses the first request that it gets. On the same connection it sends the refusal once more, late, when the
// next request has come, and runs that one, as it does all requests on other connections.
type Copier struct {
	Refusal, Response string
	// Runs counts the requests that ran.
	Runs    atomic.Int32
	refused atomic.Bool
}

// Serve is the server's function.
func (s *Copier) Serve(c *net.TCPConn) {
	r := bufio.NewReader(c)
	copies := false
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !s.refused.Swap(true) {
			copies = true
			respond(c, s.Refusal, request)
			continue
		}
		if copies {
			respond(c, s.Refusal, request)
		}
		s.Runs.Add(1)
		time.Sleep(settleTime)
		respond(c, s.Response, request)
	}
}
