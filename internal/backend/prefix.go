package backend

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the number of bytes of a prompt that an engine caches as one block.
const PrefixBlock = 128

// Prefixes returns the hashes by which cache events name the prefixes of a prompt: one for each whole
// block, each covering the prompt from its start to the end of that block.
func Prefixes(prompt string) []uint64 {
	hsh := xxhash.New()
	sums := make([]uint64, 0, len(prompt)/PrefixBlock)
	for len(prompt) >= PrefixBlock {
		_, _ = hsh.WriteString(prompt[:PrefixBlock]) // xxhash never returns an error.
		sums = append(sums, hsh.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return sums
}
