package crowd_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"zinniapin/internal/crowd"
	"zinniapin/internal/knownred"
	"zinniapin/link"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/wire"
)

// programs is the folder with the built programs.
var programs string

// TestMain builds the programs.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	programs = folder
	out, err := exec.Command("go", "build", "-o", folder, "zinniapin/cmd/...").CombinedOutput()
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err, string(out))
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a program under test.
type process struct {
	name                      string
	pid                       int
	ended                     <-chan struct{}
	log                       string
	callers, operators, links string // addresses
	bounds                    crowd.Usage
	ordinary                  func() bool // sends a request as sound clients do and returns whether it was answered
}

// startProcess starts a program with a settings file.
func startProcess(t *testing.T, program, file string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(programs, program), "--settings", file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { _ = command.Wait(); close(ended) }()
	t.Cleanup(func() { _ = command.Process.Kill(); <-ended; _ = log.Close() })
	return &process{pid: command.Process.Pid, ended: ended, log: log.Name()}
}

// gathering is a crowd at one address.
type gathering struct {
	clients int
	client  crowd.Client
}

const (
	// sendLimit bounds the time for a crowd to send all that it sends.
	sendLimit = 30 * time.Second
	// waitLimit bounds the time until an ordinary request is answered.
	waitLimit = 60 * time.Second
)

// withstand lets a crowd come to an address of a process, and checks that the process lives, stays within its bounds and
// answers an ordinary request while the crowd keeps its connections, and another one afterwards.
func (p *process) withstand(t *testing.T, address string, g gathering) {
	t.Helper()
	stop := crowd.Watch(p.pid, address)
	c := crowd.Start(address, g.clients, g.client)
	c.WaitSent(sendLimit)
	served := holdsWithin(p.ordinary)
	c.Close()
	after := holdsWithin(p.ordinary)
	used := stop()
	t.Logf("at most %v", used)
	fail := func(format string, args ...any) {
		t.Helper()
		knownred.Fail(t, "../../KNOWN-RED.txt", t.Name()[:strings.LastIndex(t.Name(), "/")], format, args...)
	}
	select {
	case <-p.ended:
		fail("the process has ended")
	default:
	}
	if !served || !after {
		fail("ordinary requests: answered beside the crowd %t, afterwards %t", served, after)
	}
	if used.MemoryBytes > p.bounds.MemoryBytes || used.Descriptors > p.bounds.Descriptors {
		fail("the process held %v, more than %v", used, p.bounds)
	}
	if lines, _ := os.ReadFile(p.log); bytes.Count(lines, []byte("\n")) > maxLogLines {
		fail("the process logged %d lines, more than %d", bytes.Count(lines, []byte("\n")), maxLogLines)
	}
	if t.Failed() {
		lines, _ := os.ReadFile(p.log)
		t.Logf("end of the log:\n%s", lines[max(0, len(lines)-1000):])
	}
}

// maxLogLines bounds the log of a process beside a crowd.
const maxLogLines = 5000

// bodies returns crowds of callers whose requests have the heads given, one for a target that answers and one for a
// target that never does.
func bodies(answered, mute string) map[string]gathering {
	return map[string]gathering{
		"whole":         {bodyCrowd, crowd.Body(mute, maxBodyBytes, maxBodyBytes)},
		"unfinished":    {bodyCrowd, crowd.Body(answered, maxBodyBytes, maxBodyBytes-1)},
		"large chunks":  {bodyCrowd, crowd.Chunks(answered, 256<<10, maxBodyBytes)},
		"small chunks":  {bodyCrowd, crowd.Chunks(answered, 16, maxBodyBytes-4096)},
		"announced":     {bodyCrowd, crowd.Body(answered, 16*maxBodyBytes, maxBodyBytes)},
		"beyond":        {bodyCrowd, crowd.Chunks(answered, 64<<10, 16*maxBodyBytes)},
		"heads":         {connectionCrowd, crowd.Bytes(answered+"X: ", maxHeadBytes-1024)},
		"silent":        {connectionCrowd, crowd.Silent},
		"empty bodies":  {connectionCrowd, crowd.Body(answered, maxBodyBytes, 0)},
		"small bodies":  {connectionCrowd, crowd.Body(answered, 20<<10, 20<<10-1)},
		"pipelined":     {bodyCrowd, crowd.Bytes(mute+"Content-Length: 0\r\n\r\n", maxBodyBytes)},
		"whole, served": {bodyCrowd, crowd.Body(answered, maxBodyBytes, maxBodyBytes)},
	}
}

// operators returns crowds at the address of operators.
func operators(path string) map[string]gathering {
	head := "GET " + path + " HTTP/1.1\r\nHost: operators\r\n"
	return map[string]gathering{
		"silent": {connectionCrowd, crowd.Silent},
		"heads":  {connectionCrowd, crowd.Bytes(head+"X: ", 900<<10)},
		"bodies": {connectionCrowd, crowd.Body(head, 64<<20, 4<<20)},
		"idle":   {connectionCrowd, crowd.Bytes(head+"\r\n", 0)},
	}
}

// links returns crowds at the address for links without TLS.
func links() map[string]gathering {
	return map[string]gathering{
		"silent":   {connectionCrowd, crowd.Silent},
		"hello":    {connectionCrowd, crowd.Bytes(string(binary.BigEndian.AppendUint32(nil, 4<<10)), 4<<10-1)},
		"messages": {8, messages(64, 4<<20)},
		"sessions": {connectionCrowd, messages(1, 0)},
	}
}

// messages returns a client that opens a link and on it a number of streams, on each of which it announces the largest
// message and sends count bytes of it.
func messages(streams, count int) crowd.Client {
	return func(c net.Conn, sent func()) error {
		hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: link.HelloOf(machine.Process{Host: "crowd", Role: machine.Node, Address: "127.0.0.1:1"})}}
		if _, err := c.Write(binary.BigEndian.AppendUint32(nil, uint32(proto.Size(hello)))); err != nil {
			return err
		}
		encoded, err := proto.Marshal(hello)
		if err != nil {
			return err
		}
		if _, err := c.Write(encoded); err != nil {
			return err
		}
		var length [4]byte
		if _, err := io.ReadFull(c, length[:]); err != nil {
			return err
		}
		if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(length[:]))); err != nil {
			return err
		}
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(c, config)
		if err != nil {
			return err
		}
		var all sync.WaitGroup
		for range streams {
			all.Go(func() {
				if s, err := session.OpenStream(); err == nil {
					_ = crowd.Bytes(string(binary.BigEndian.AppendUint32(nil, link.MaxMessageBytes)), count)(s, sent)
				}
			})
		}
		go func() { all.Wait(); sent() }()
		<-session.CloseChan()
		return io.EOF
	}
}

// call opens a link to a node and makes a call over it.
func call(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	log := zerolog.Nop()
	n := &yamuxlink.Network{Self: machine.Process{Host: "h1", Role: machine.Node, Address: "127.0.0.1:1"}, Log: &log}
	none := link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) { return nil, link.ErrClosed })
	l, err := n.Dial(ctx, address, none)
	if err != nil {
		return false
	}
	defer l.Close() //nolint:errcheck // the reply has been read
	_, err = l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_SnapshotRequest{SnapshotRequest: &wire.SnapshotRequest{}}})
	return err == nil
}

// handshake tells whether a listener for links answers a TLS handshake, which it refuses for lack of a certificate.
func handshake(address string) bool {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close() //nolint:errcheck // was only read
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	secured := tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) // only that the server answers matters
	return secured.Handshake() == nil
}

// client opens a connection for each request and gives up after some seconds.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get returns the status of a GET request, 0 if it was not answered.
func get(address, path string) int {
	return status(http.NewRequest(http.MethodGet, "http://"+address+path, nil))
}

// post returns the status of a POST request, 0 if it was not answered.
func post(address, path, host, body string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err == nil {
		r.Host = host
		r.Header.Set("X-Request-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
		r.Header.Set("X-Deadline-Ms", "3000")
	}
	return status(r, err)
}

// status sends a request and returns the status of the answer, 0 if there is none.
func status(r *http.Request, err error) int {
	if err != nil {
		return 0
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // was only read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// holdsWithin polls a condition and returns whether it holds within waitLimit.
func holdsWithin(condition func() bool) bool {
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// eventually fails the test unless a condition holds within waitLimit.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if !holdsWithin(condition) {
		t.Fatalf("not within %v: %s", waitLimit, what)
	}
}

// reserveNetwork returns the prefix of a loopback network that no other test on this machine uses.
func reserveNetwork(t *testing.T) string {
	t.Helper()
	for third := 1; third < 250; third++ {
		network := fmt.Sprintf("127.121.%d.", third)
		if l, err := net.Listen("tcp", network+"250:9090"); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return network
		}
	}
	t.Fatal("no loopback network is free")
	return ""
}
