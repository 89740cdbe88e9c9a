package gateway

import (
	"fmt"

	"zinniapin/target"
)

// assembly joins the chunks of several attempts into one answer that contains each token
// exactly once.
type assembly struct {
	received int // output tokens received so far
}

// accept checks the position of a chunk and returns whether its text is to be appended. It
// drops chunks of other attempts and chunks whose tokens have all been received. A gap, or a
// chunk that overlaps the received tokens in part, cannot be joined and fails the attempt.
func (a *assembly) accept(attempt string, c target.Chunk) (bool, error) {
	if c.Attempt != attempt {
		return false, nil
	}
	if c.Tokens < 0 || c.Offset < 0 {
		return false, fmt.Errorf("%w: negative offset or length", target.ErrIncomplete)
	}
	end := c.Offset + c.Tokens
	if c.Offset > a.received {
		return false, fmt.Errorf("%w: tokens %d to %d are missing", target.ErrIncomplete, a.received, c.Offset)
	}
	if c.Offset < a.received {
		if end > a.received {
			return false, fmt.Errorf("%w: a chunk starts before token %d and ends after it", target.ErrIncomplete, a.received)
		}
		return false, nil
	}
	a.received = end
	return c.Text != "" || c.Tokens > 0, nil
}

// complete tells whether a chunk ends the answer. It returns an error when the engine's
// token count differs from the number of tokens received.
func (a *assembly) complete(attempt string, c target.Chunk) (bool, error) {
	if !c.Done || c.Attempt != attempt {
		return false, nil
	}
	if c.OutputTokens != a.received {
		return false, fmt.Errorf("%w: the engine reports %d output tokens, %d were received", target.ErrIncomplete, c.OutputTokens, a.received)
	}
	return true, nil
}
