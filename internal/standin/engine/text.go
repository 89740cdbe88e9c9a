package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that generated answers consist of.
var vocabulary = [...]string{
	"the", "farm", "clown", "party", "report", "field", "soil", "magic",
	"children", "review", "balloon", "rice", "mango", "zone", "answer", "song",
	"inspect", "juggle", "letter", "water", "seed", "puppet", "cake", "road",
	"village", "stage", "music", "trader", "number", "harvest", "laugh", "tea",
}

// An answer that no token limit ends has from minNaturalTokens to
// minNaturalTokens+naturalTokensSpan-1 tokens, depending on the hash of model and prompt.
const (
	minNaturalTokens  = 16
	naturalTokensSpan = 240
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// hashOf returns the hash of a model and a prompt, which determines the answer.
func hashOf(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// Token returns the output token at index i of the answer to a prompt.
func Token(model, prompt string, i int) string {
	return token(hashOf(model, prompt), i)
}

// token returns the output token at index i of the answer to the prompt with this hash.
func token(prompt uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(prompt, 16) + "/" + strconv.Itoa(i))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// Text returns the output tokens of the answer from index from up to, but not including,
// index to.
func Text(model, prompt string, from, to int) string {
	return text(hashOf(model, prompt), from, to)
}

// text is Text for a hashed prompt.
func text(prompt uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

// Length returns the length of the answer in tokens and its finish reason: "length" if
// maxTokens ends it, otherwise "stop".
func Length(model, prompt string, maxTokens int) (int, string) {
	return length(hashOf(model, prompt), maxTokens)
}

// length is Length for a hashed prompt.
func length(prompt uint64, maxTokens int) (int, string) {
	natural := minNaturalTokens + int(prompt%naturalTokensSpan)
	if natural <= maxTokens {
		return natural, "stop"
	}
	return maxTokens, "length"
}
