package dispatch

import "zinniapin/target"

// SentPrompt is a prompt that was sent to a target, for peers.
type SentPrompt struct {
	Target uint32
	Chains []uint32
	// Long prompts share so much that other availability zones have use for it.
	Long bool
}

// maxSent bounds the prompts that are kept for peers.
const maxSent = 256

// TakeSentPrompts returns the prompts sent since the last call.
func (p *Planner) TakeSentPrompts() []SentPrompt {
	taken := p.sent
	p.sent = nil
	return taken
}

// tell keeps a prompt for peers. Its last part is its own, so that other hosts
// have no use for it.
func (p *Planner) tell(t target.ID, parts []Part) {
	if len(parts) < 2 || len(p.sent) >= maxSent {
		return
	}
	shared := parts[:len(parts)-1]
	p.sent = append(p.sent, SentPrompt{KeyOf(t), chainsOf(shared), shared[len(shared)-1].Tokens >= promptHomeTokens})
}
