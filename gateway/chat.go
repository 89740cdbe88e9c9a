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
	"zinniapin/poison"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/usage"
)

// Token limits of a model whose configuration states none.
const (
	defaultPromptTokens = 131072
	defaultOutputTokens = 4096
)

// headerLastEventID is the request header that carries a resume token.
const headerLastEventID = "Last-Event-Id"

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	callerContract, err := authenticate(g.snapshot.Load(), c.credential)
	if err != nil {
		return err
	}
	raw, err := g.readBody(w, r, chatCopies)
	if err != nil {
		return err
	}
	body, err := parseChat(raw)
	if err != nil {
		return err
	}
	gen, err := g.newGeneration(c, callerContract, body)
	if err != nil {
		return err
	}
	response := newChatResponse(g, w, gen, body)
	if err := response.resume(r.Header.Get(headerLastEventID)); err != nil {
		return err
	}
	return g.generate(r.Context(), gen, response)
}

// newGeneration checks a chat request against the contract and the model's limits and
// prepares its generation.
func (g *Gateway) newGeneration(c *call, callerContract *contract.Contract, body *chatBody) (*generation, error) {
	model := g.snapshot.Load().Model(body.Model)
	if model == nil || !slices.Contains(callerContract.Models, body.Model) {
		return nil, result.New(result.NoSuchModel, "%.64q", body.Model).At("model")
	}
	prompt := body.prompt()
	delivered := ""
	if body.Delivered != nil {
		delivered = *body.Delivered
	}
	if c.credential.appearsIn(prompt, delivered) {
		return nil, result.New(result.KeyInContent, "a message contains the API key").At("messages")
	}
	tokens := estimateTokens(prompt)
	if limit := orDefault(model.MaxPromptTokens, defaultPromptTokens); tokens > limit {
		return nil, result.New(result.TooLarge, "the prompt has about %d tokens, the model accepts %d", tokens, limit).At("messages")
	}
	limit := body.outputLimit(orDefault(model.MaxOutputTokens, defaultOutputTokens))
	return &generation{
		gateway:  g,
		call:     c,
		contract: callerContract,
		limit:    limit,
		prompt:   prompt,
		part: newRequestPart(len(prompt), func() poison.Part {
			return poison.PartOfRequest(callerContract.Organisation, http.MethodPost, model.Name, []byte(prompt))
		}),
		priority: callerContract.Priority,
		query: routing.Request{
			Pool:         model.Pool,
			Model:        model.Name,
			Affinity:     affinity(callerContract.Organisation, model.Name, prompt),
			PromptTokens: tokens,
			OutputTokens: limit,
			Priority:     callerContract.Priority,
			StableOnly:   callerContract.StableOnly,
		},
	}, nil
}

// orDefault returns the value, or the fallback if the value is 0.
func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// affinity returns the hash by which the router prefers an engine, so that prompts with the
// same beginning reuse one prefix cache. The organisation is hashed first, so that no two
// organisations share a prefix cache.
func affinity(organisation, model, prompt string) uint64 {
	d := xxhash.New()
	for _, part := range []string{organisation, "\x00", model, "\x00", prompt[:min(len(prompt), affinityPrefixBytes)]} {
		_, _ = d.WriteString(part) // writing to a hash never fails
	}
	return d.Sum64()
}

// generate takes a generation through admission, runs it, records its usage and ends the
// response.
func (g *Gateway) generate(ctx context.Context, gen *generation, response *chatResponse) error {
	if err := gen.checkBlocked(); err != nil {
		return err
	}
	resumedAt := gen.assembly.received
	admitStart := time.Now()
	g.loads.countArrival(gen.query.Pool, gen.query.Model, gen.query.StableOnly)
	ticket, err := g.admit(ctx, admission.Request{
		Organisation: gen.contract.Organisation,
		Contract:     gen.contract,
		Pool:         gen.query.Pool,
		Cost:         float64(gen.query.PromptTokens + gen.query.OutputTokens),
		PromptTokens: gen.query.PromptTokens,
		Deadline:     gen.call.arrived.Add(settings.Millis(g.options.Settings.FirstTokenMillis)),
	})
	g.loads.countAdmission(gen.query.Pool, gen.query.Model, gen.query.PromptTokens, time.Since(admitStart), err)
	if err != nil {
		return err
	}
	gen.emit = response.emit
	gen.onFirstToken = func() { g.firstToken(ticket, gen.query.Pool) }
	err = func() error {
		defer func() { g.release(ticket, gen.query.Pool, gen.assembly.received-resumedAt) }()
		return gen.run(ctx)
	}()
	tokens := gen.assembly.received - resumedAt
	g.loads.countOutput(gen.query.Pool, gen.query.Model, tokens)
	g.recordUsage(gen, tokens, response.resumed)
	if err != nil {
		return response.fail(err)
	}
	return response.finish()
}

// recordUsage adds the usage of an ended request to the ledger. A request that did not run
// is not counted. One that was cut off counts the tokens that were delivered. A resumed one
// counts only the tokens that it added: the gateway that served the first part counted its
// prompt.
func (g *Gateway) recordUsage(gen *generation, tokens int, resumed bool) {
	if gen.execution.state != result.Ran {
		return
	}
	g.metrics.tokens.Add(float64(tokens))
	amount := usage.Amount{OutputTokens: uint64(max(0, tokens))}
	if !resumed {
		amount.Requests = 1
		amount.PromptTokens = uint64(max(0, gen.promptTokens()))
	}
	g.ledger.Add(time.Now(), gen.contract.Organisation, amount)
}

// promptTokens returns the engine's count of prompt tokens, or the estimate if no engine has
// reported one.
func (gen *generation) promptTokens() int {
	if gen.enginePromptTokens == 0 {
		return gen.query.PromptTokens
	}
	return gen.enginePromptTokens
}

// models serves GET /v1/models. It lists only the models of the caller's contract.
func (g *Gateway) models(w http.ResponseWriter, _ *http.Request, c *call) error {
	s := g.snapshot.Load()
	callerContract, err := authenticate(s, c.credential)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range callerContract.Models {
		if s.Model(name) != nil {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "zinniapin"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model in a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// finishReason maps an engine's finish reason to the one that the chat completions API uses.
func finishReason(engine string) string {
	if strings.EqualFold(engine, "length") {
		return "length"
	}
	return "stop"
}
