package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"zinniapin/internal/crowd"
	"zinniapin/internal/deploy"
	standins "zinniapin/internal/standin/process"
	"zinniapin/settings"
)

// gatewayMemoryMB is above nodeMemoryMB, since a gateway decodes bodies and so holds them several times.
const gatewayMemoryMB = 96

// startDeployment starts a gateway, a controller and the targets of an example. It returns the gateway and the controller.
func startDeployment(t *testing.T) (gateway, controller *process, key string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitLimit)
	t.Cleanup(cancel)
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	d, err := deploy.Prepare(deploy.Options{Example: "../../examples/kalnins", Folder: t.TempDir(), Binaries: programs, Network: reserveNetwork(t), Hosts: 1, Edit: limitResources})
	check(err)
	t.Cleanup(func() { _ = d.StopAll(ctx) })
	s := &settings.Standin{}
	check(d.StandinSettings(s))
	log := zerolog.Nop()
	targets, err := standins.Start(s, &log)
	check(err)
	t.Cleanup(targets.Close)
	check(d.ApplyConfiguration(ctx))
	c, err := d.StartController(d.Hosts[0])
	check(err)
	g, err := d.StartGateway(d.Hosts[0])
	check(err)
	check(d.WaitReady(ctx))
	key, err = d.IssueKey(ctx, "parents-portal")
	check(err)
	cs, err := d.ControllerSettings(d.Hosts[0])
	check(err)
	gs, err := d.GatewaySettings(d.Hosts[0])
	check(err)
	bounds := crowd.Usage{MemoryBytes: gatewayMemoryMB << 20, Descriptors: descriptors}
	controller = &process{name: "controller", pid: c.PID(), ended: c.Done(), log: c.Log, operators: cs.Operators, links: cs.Links, bounds: bounds}
	gateway = &process{name: "gateway", pid: g.PID(), ended: g.Done(), log: g.Log, callers: gs.Listen, operators: gs.Operators, bounds: bounds}
	gateway.ordinary = func() bool { return chat(gateway.callers, key, "Is 6 June free?") == http.StatusOK }
	eventually(t, "the gateway serves", gateway.ordinary)
	return gateway, controller, key
}

// limitResources limits the memory and the descriptors in the settings of a gateway or controller.
func limitResources(path string, content []byte) []byte {
	if !strings.HasSuffix(path, "gateway.json") && !strings.HasSuffix(path, "controller.json") {
		return content
	}
	all := make(map[string]any)
	if json.Unmarshal(content, &all) != nil {
		return content
	}
	all["memory_mb"], all["descriptors"] = gatewayMemoryMB, descriptors
	edited, _ := json.Marshal(all)
	return edited
}

// chatBody returns the body of a request for a short answer.
func chatBody(content string) string {
	return fmt.Sprintf(`{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":%q}]}`, content)
}

// chat sends a request to a gateway and returns the status of the answer, 0 if there is none.
func chat(address, key, content string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(chatBody(content)))
	if err == nil {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return status(r, err)
}

// gatewayHead is the head of a request to a gateway, without the blank line after it.
func gatewayHead(key, path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer " + key + "\r\nContent-Type: application/json\r\n"
}

// TestGatewayAndController lets crowds come to the addresses of a gateway and a controller, which go on running from one
// crowd to the next.
func TestGatewayAndController(t *testing.T) {
	g, k, key := startDeployment(t)
	head := gatewayHead(key, "/v1/chat/completions")
	all := bodies(head, head)
	elements := `{"model":"assistant","messages":[` + strings.Repeat("{},", maxBodyBytes/3-100) + `{}]}`
	all["elements"] = gathering{bodyCrowd, crowd.Bytes(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(elements), elements), 0)}
	for name, c := range all {
		t.Run("callers/"+name, func(t *testing.T) { g.withstand(t, g.callers, c) })
	}
	// A single request of the largest size is decoded, and then refused for the length of its prompt.
	t.Run("callers/largest", func(t *testing.T) {
		content := strings.Repeat("a", maxBodyBytes-len(chatBody("")))
		for range 2 {
			eventually(t, "the request is read", func() bool { return chat(g.callers, key, content) == http.StatusRequestEntityTooLarge })
		}
	})
	for _, p := range []*process{g, k} {
		p.ordinary = func() bool { return get(p.operators, "/healthz") == 200 && get(p.operators, "/metrics") == 200 }
		for name, c := range operators("/metrics") {
			t.Run(p.name+" operators/"+name, func(t *testing.T) { p.withstand(t, p.operators, c) })
		}
	}
	k.ordinary = func() bool { return handshake(k.links) && chat(g.callers, key, "Is 6 June free?") == http.StatusOK }
	for name, c := range map[string]gathering{
		"silent": {connectionCrowd, crowd.Silent},
		"hello":  {connectionCrowd, crowd.Bytes("\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03", 12<<10)},
	} {
		t.Run("controller links/"+name, func(t *testing.T) { k.withstand(t, k.links, c) })
	}
}
