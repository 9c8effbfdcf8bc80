package promptcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Prompt is a prompt as the estimates know it.
type Prompt struct {
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Tokens holds the number of tokens of each prefix.
	Tokens []int
	// HomePrefix is the prefix whose home server is the prompt's: the one that ends with the largest part, such as a
	// document. The first part may be the same for all prompts, and the last one changes with each turn of a session.
	HomePrefix uint64
}

// NewPrompt returns a prompt whose prefixes consist of the leading parts with the given IDs, read for a model. The
// number of tokens of each part is in partTokens, 0 if it is not known. No prefix exceeds maxTokens, the tokens of the
// whole prompt, since callers state both.
func NewPrompt(model string, parts []string, partTokens []int, maxTokens int) Prompt {
	pmt := Prompt{
		Prefixes: make([]uint64, 0, len(parts)),
		Tokens:   make([]int, 0, len(parts)),
	}
	sum := xxhash.Sum64String(model)
	tokens, largest := 0, -1
	for idx, part := range parts {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], sum)
		hsh := xxhash.New()
		_, _ = hsh.Write(seed[:]) // xxhash never returns an error.
		_, _ = hsh.WriteString(part)
		sum = hsh.Sum64()
		before := tokens
		if idx < len(partTokens) {
			tokens = min(tokens+max(0, partTokens[idx]), max(0, maxTokens))
		}
		if tokens-before > largest {
			largest = tokens - before
			pmt.HomePrefix = sum
		}
		pmt.Prefixes = append(pmt.Prefixes, sum)
		pmt.Tokens = append(pmt.Tokens, tokens)
	}
	return pmt
}

// CachedTokens returns the expected number of the prompt's tokens that a holder has cached, given the matches of its
// prefixes.
func (pmt *Prompt) CachedTokens(hld Holder, mat *Matches) int {
	num, weight := mat.Leading(hld)
	if num == 0 {
		return 0
	}
	return int(weight * float64(pmt.Tokens[num-1]))
}

// SharedTokens returns the number of tokens of the longest prefix.
func (pmt *Prompt) SharedTokens() int {
	if len(pmt.Tokens) == 0 {
		return 0
	}
	return pmt.Tokens[len(pmt.Tokens)-1]
}
