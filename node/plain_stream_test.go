package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"zinniapin/internal/knownred"
)

// A caller takes up streams whose requests name no tokens, so that they are forwarded as those of plain services are. Each
// goes on at the version that began it.
func TestStreamWithoutTokensGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	engines := cluster.versionedEngines(3, "v1", "v2")
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	joined := 0
	for i := range 20 {
		begun, again := fmt.Sprint("begun-", i), fmt.Sprint("again-", i)
		n.send(begun, "/draft/a", "key-1", http.Header{})
		status := n.send(again, "/draft/a", "key-1", http.Header{"Last-Event-Id": {"3"}, "Resumes": {begun}})
		one, two := versionAt(engines, begun), versionAt(engines, again)
		if one == "" {
			t.Fatalf("%s did not run", begun)
		}
		if status == http.StatusOK && one != two {
			joined++
		}
	}
	if joined > 0 {
		knownred.Fail(t, knownRed, "plain-stream", "%d of 20 streams went on at another version", joined)
	}
}
