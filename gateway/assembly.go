package gateway

import (
	"fmt"

	"zinniapin/target"
)

// assembly joins the chunks of attempts into one answer in which each token
// stands once.
type assembly struct {
	have int // output tokens joined so far
}

// accept judges a chunk of the attempt. It returns whether the chunk's text
// is to be appended. Chunks of another attempt and of tokens that are there
// already are dropped; a gap, or a chunk that overlaps in part, cannot be
// joined and is an error of the attempt.
func (a *assembly) accept(attempt string, c target.Chunk) (bool, error) {
	if c.Attempt != attempt {
		return false, nil
	}
	if c.Tokens < 0 || c.Offset < 0 {
		return false, fmt.Errorf("%w: negative offset or length", target.ErrIncomplete)
	}
	end := c.Offset + c.Tokens
	if c.Offset > a.have {
		return false, fmt.Errorf("%w: tokens %d to %d are missing", target.ErrIncomplete, a.have, c.Offset)
	}
	if c.Offset < a.have {
		if end > a.have {
			return false, fmt.Errorf("%w: a chunk overlaps token %d", target.ErrIncomplete, a.have)
		}
		return false, nil
	}
	a.have = end
	return c.Text != "" || c.Tokens > 0, nil
}

// whole tells whether a chunk ends the answer, and an error when the engine
// counts other tokens than were joined.
func (a *assembly) whole(attempt string, c target.Chunk) (bool, error) {
	if !c.Done || c.Attempt != attempt {
		return false, nil
	}
	if c.OutputTokens != a.have {
		return false, fmt.Errorf("%w: the engine counts %d tokens, %d came", target.ErrIncomplete, c.OutputTokens, a.have)
	}
	return true, nil
}
