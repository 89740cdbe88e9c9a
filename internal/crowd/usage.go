package crowd

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process holds at most.
type Usage struct {
	// MemoryBytes are the resident bytes of the process and those in the kernel's buffers of connections to the
	// addresses watched.
	MemoryBytes int
	Descriptors int
}

// String returns the usage in MB and descriptors.
func (u Usage) String() string {
	return fmt.Sprintf("%.1f MB, %d descriptors", float64(u.MemoryBytes)/(1<<20), u.Descriptors)
}

// sampleInterval is the interval between two looks at a process.
const sampleInterval = 20 * time.Millisecond

// Watch looks at a process, and at the connections to addresses at which it listens, until stop is called, which returns
// the highest values seen.
func Watch(pid int, addresses ...string) (stop func() Usage) {
	end, result := make(chan struct{}), make(chan Usage)
	hexadecimal := make([]string, len(addresses))
	for i, a := range addresses {
		hexadecimal[i] = kernelAddress(a)
	}
	go func() {
		var most Usage
		for {
			select {
			case <-end:
				result <- most
				return
			case <-time.After(sampleInterval):
			}
			most.MemoryBytes = max(most.MemoryBytes, residentBytes(pid)+queuedBytes(hexadecimal))
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // none once the process has ended
			most.Descriptors = max(most.Descriptors, len(entries))
		}
	}()
	return func() Usage {
		close(end)
		return <-result
	}
}

// residentBytes returns the resident memory of a process, 0 once it has ended.
func residentBytes(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes << 10
		}
	}
	return 0
}

// kernelAddress returns an IPv4 address and port as /proc/net/tcp has them.
func kernelAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	return strings.ToUpper(hex.EncodeToString(binary.NativeEndian.AppendUint32(nil, binary.BigEndian.Uint32(ip[:])))) + fmt.Sprintf(":%04X", a.Port())
}

// queuedBytes returns the bytes in the kernel's buffers of connections at local addresses: received and not read, or
// written and not acknowledged.
func queuedBytes(local []string) int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close() //nolint:errcheck // was only read
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !slices.Contains(local, fields[1]) || fields[3] == listening {
			continue
		}
		written, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{written, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += int(n)
		}
	}
	return total
}

// listening is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const listening = "0A"
