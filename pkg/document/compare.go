package document

import "sort"

// Change is the way in which a part differs between two documents.
type Change string

// Kinds of changes of a part.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one part that differs between two documents.
type Difference struct {
	Name   string
	Change Change
}

// Compare returns the parts that differ between the documents old and next, ordered by name.
func Compare(old, next []Part) []Difference {
	digests := map[string]string{}
	for _, prt := range old {
		digests[prt.Name] = prt.Digest
	}
	var difs []Difference
	add := func(name string, chg Change) {
		difs = append(difs, Difference{
			Name:   name,
			Change: chg,
		})
	}
	for _, prt := range next {
		before, ok := digests[prt.Name]
		delete(digests, prt.Name)
		switch {
		case !ok:
			add(prt.Name, Added)
		case before != prt.Digest:
			add(prt.Name, Changed)
		}
	}
	for name := range digests {
		add(name, Removed)
	}
	sort.Slice(difs, func(fst, snd int) bool { return difs[fst].Name < difs[snd].Name })
	return difs
}
