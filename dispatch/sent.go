package dispatch

import "zinniapin/target"

// SentPrompt tells peers which shared leading parts of a prompt a target is about
// to have cached.
type SentPrompt struct {
	Target uint32 // as by KeyOf
	Chains []uint32
	// Long is set when the shared parts are long enough to be worth fetching from
	// another availability zone.
	Long bool
}

// maxSentPrompts bounds the prompts that wait for TakeSentPrompts; more are dropped.
const maxSentPrompts = 256

// TakeSentPrompts returns the prompts sent since the last call.
func (p *Planner) TakeSentPrompts() []SentPrompt {
	taken := p.sentPrompts
	p.sentPrompts = nil
	return taken
}

// recordSentPrompt queues a prompt for TakeSentPrompts. The last part of a prompt is
// unique to it, so only the parts before it are of use to other hosts.
func (p *Planner) recordSentPrompt(t target.ID, parts []Part) {
	if len(parts) < 2 || len(p.sentPrompts) >= maxSentPrompts {
		return
	}
	shared := parts[:len(parts)-1]
	p.sentPrompts = append(p.sentPrompts, SentPrompt{KeyOf(t), chainsOf(shared), shared[len(shared)-1].Tokens >= prefillCacheMinTokens})
}
