package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/usage"
)

// Defaults of a model's bounds.
const (
	defaultPromptTokens = 131072
	defaultOutputTokens = 4096
)

// headerLastEventID carries the resume token.
const headerLastEventID = "Last-Event-Id"

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	k, err := authenticate(g.snapshot.Load(), c.credential)
	if err != nil {
		return err
	}
	raw, free, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer free()
	body, err := parseChat(raw)
	if err != nil {
		return err
	}
	n, err := g.newGeneration(c, k, body)
	if err != nil {
		return err
	}
	answer := newChatAnswer(g, w, n, body)
	if err := answer.resume(r.Header.Get(headerLastEventID)); err != nil {
		return err
	}
	return g.generate(r.Context(), n, answer)
}

// newGeneration checks a chat request against the contract and the model.
func (g *Gateway) newGeneration(c *call, k *contract.Contract, body *chatBody) (*generation, error) {
	model := g.snapshot.Load().Model(body.Model)
	if model == nil || !slices.Contains(k.Models, body.Model) {
		return nil, result.New(result.NoSuchModel, "%.64q", body.Model).At("model")
	}
	prompt := body.prompt()
	delivered := ""
	if body.Delivered != nil {
		delivered = *body.Delivered
	}
	if c.credential.within(prompt, delivered) {
		return nil, result.New(result.KeyInContent, "the key stands in a message").At("messages")
	}
	tokens := estimateTokens(prompt)
	if limit := orDefault(model.MaxPromptTokens, defaultPromptTokens); tokens > limit {
		return nil, result.New(result.TooLarge, "about %d tokens, the model takes %d", tokens, limit).At("messages")
	}
	limit := body.outputLimit(orDefault(model.MaxOutputTokens, defaultOutputTokens))
	return &generation{
		gateway:  g,
		call:     c,
		contract: k,
		limit:    limit,
		prompt:   prompt,
		priority: k.Priority,
		query: routing.Request{
			Pool:         model.Pool,
			Model:        model.Name,
			Affinity:     affinity(k.Organisation, model.Name, prompt),
			PromptTokens: tokens,
			OutputTokens: limit,
			Priority:     k.Priority,
			StableOnly:   k.StableOnly,
		},
	}, nil
}

// orDefault returns the value, or the default when it is 0.
func orDefault(value, otherwise int) int {
	if value == 0 {
		return otherwise
	}
	return value
}

// affinity hashes what decides which engine's prefix cache serves a prompt:
// the organisation first, so that no two organisations share one.
func affinity(organisation, model, prompt string) uint64 {
	d := xxhash.New()
	for _, part := range []string{organisation, "\x00", model, "\x00", prompt[:min(len(prompt), affinityPieceBytes)]} {
		_, _ = d.WriteString(part) // a hash never fails to write
	}
	return d.Sum64()
}

// generate takes a generation through admission, runs it and counts its use.
func (g *Gateway) generate(ctx context.Context, n *generation, answer *chatAnswer) error {
	start := n.assembly.have
	begun := time.Now()
	g.loads.arrived(n.query.Pool, n.query.Model, n.query.StableOnly)
	ticket, err := g.admit(ctx, admission.Request{
		Organisation: n.contract.Organisation,
		Contract:     n.contract,
		Pool:         n.query.Pool,
		Cost:         float64(n.query.PromptTokens + n.query.OutputTokens),
		PromptTokens: n.query.PromptTokens,
		Deadline:     n.call.arrived.Add(settings.Millis(g.options.Settings.FirstTokenMillis)),
	})
	g.loads.admitted(n.query.Pool, n.query.Model, n.query.PromptTokens, time.Since(begun), err)
	if err != nil {
		return err
	}
	n.emit = answer.emit
	n.started = func() { g.started(ticket, n.query.Pool) }
	err = n.run(ctx)
	tokens := n.assembly.have - start
	g.leave(ticket, n.query.Pool, tokens)
	g.loads.generated(n.query.Pool, n.query.Model, tokens)
	g.count(n, tokens, answer.resumed)
	if err != nil {
		return answer.fail(err)
	}
	return answer.end()
}

// count counts the use of a request that has ended. A request that did not
// run counts nothing; one that was cut counts the tokens that were delivered;
// a resumed one counts only what it added, since its prompt was counted where
// it was cut.
func (g *Gateway) count(n *generation, tokens int, resumed bool) {
	if n.execution.state != result.Ran {
		return
	}
	g.metrics.tokens.Add(float64(tokens))
	amount := usage.Amount{OutputTokens: uint64(max(0, tokens))}
	if !resumed {
		amount.Requests = 1
		amount.PromptTokens = uint64(max(0, n.promptTokens()))
	}
	g.ledger.Add(time.Now(), n.contract.Organisation, amount)
}

// promptTokens returns the prompt's tokens by the engine's count, or the
// estimate while no engine has counted them.
func (n *generation) promptTokens() int {
	if n.prompted == 0 {
		return n.query.PromptTokens
	}
	return n.prompted
}

// models serves GET /v1/models: the models of the contract, no others.
func (g *Gateway) models(w http.ResponseWriter, _ *http.Request, c *call) error {
	s := g.snapshot.Load()
	k, err := authenticate(s, c.credential)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range k.Models {
		if s.Model(name) != nil {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "zinniapin"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// finishReason returns the finish reason in the callers' form.
func finishReason(engine string) string {
	if strings.EqualFold(engine, "length") {
		return "length"
	}
	return "stop"
}
