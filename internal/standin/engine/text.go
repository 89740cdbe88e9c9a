package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that answers are made of.
var vocabulary = [...]string{
	"the", "farm", "clown", "party", "report", "field", "soil", "magic",
	"children", "review", "balloon", "rice", "mango", "zone", "answer", "song",
	"inspect", "juggle", "letter", "water", "seed", "puppet", "cake", "road",
	"village", "stage", "music", "trader", "number", "harvest", "laugh", "tea",
}

// Bounds of an answer's natural length, in tokens.
const (
	minNaturalTokens  = 16
	naturalTokensSpan = 240
)

// bytesPerToken is the number of prompt bytes that make a token.
const bytesPerToken = 4

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// hashOf returns the hash of a prompt to a model.
func hashOf(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// Token returns output token i of the answer to a prompt.
func Token(model, prompt string, i int) string {
	return token(hashOf(model, prompt), i)
}

// token returns output token i of the answer to a hashed prompt.
func token(prompt uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(prompt, 16) + "/" + strconv.Itoa(i))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// Text returns the output tokens from index from up to index to.
func Text(model, prompt string, from, to int) string {
	return text(hashOf(model, prompt), from, to)
}

// text returns output tokens of the answer to a hashed prompt.
func text(prompt uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

// Length returns the length of the answer in tokens and how it finishes.
func Length(model, prompt string, maxTokens int) (int, string) {
	return length(hashOf(model, prompt), maxTokens)
}

// length returns the length of the answer to a hashed prompt.
func length(prompt uint64, maxTokens int) (int, string) {
	natural := minNaturalTokens + int(prompt%naturalTokensSpan)
	if natural <= maxTokens {
		return natural, "stop"
	}
	return maxTokens, "length"
}
