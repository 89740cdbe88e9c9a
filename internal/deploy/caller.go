package deploy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"zinniapin/contract"
)

// IssueKey issues a key for an organisation and waits until it is in force.
func (d *Deployment) IssueKey(ctx context.Context, organisation string) (string, error) {
	out, err := d.RunOperatorCommand(ctx, "--json", "key", "issue", organisation, "--wait")
	if err != nil {
		return "", err
	}
	var issued struct {
		Key string `json:"key"`
	}
	return issued.Key, trace.Wrap(json.Unmarshal([]byte(out), &issued))
}

// Response is the HTTP response to a Call.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Call is an HTTP request of a caller.
type Call struct {
	Method string
	URL    string
	Key    string
	Body   string
	Header map[string]string
}

// Send sends the request and reads the whole response.
func (c Call) Send(ctx context.Context) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return Response{}, trace.Wrap(err)
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Response{response.StatusCode, response.Header, string(body)}, trace.Wrap(err)
}

// Fingerprint returns the fingerprint by which the configuration names a key.
func Fingerprint(key string) string {
	return contract.Fingerprint(key)
}
