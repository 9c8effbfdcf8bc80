package backend

import "github.com/cespare/xxhash/v2"

// PrefixBlockSize is the size in bytes of the blocks in which an engine caches a prompt.
const PrefixBlockSize = 128

// PrefixHashes returns the hashes that identify the prefixes of a prompt in cache events. There is one hash for
// each complete block, over the prompt from its start to the end of that block.
func PrefixHashes(prompt string) []uint64 {
	hsh := xxhash.New()
	sums := make([]uint64, 0, len(prompt)/PrefixBlockSize)
	for len(prompt) >= PrefixBlockSize {
		_, _ = hsh.WriteString(prompt[:PrefixBlockSize]) // xxhash never returns an error.
		sums = append(sums, hsh.Sum64())
		prompt = prompt[PrefixBlockSize:]
	}
	return sums
}
