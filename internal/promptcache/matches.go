package promptcache

// Matches holds the holders that the estimates name for one prompt; the zero value names none.
type Matches struct {
	holders [maxHolders]match
	count   int
}

type match struct {
	holder   Holder
	prefixes int
	weight   float64
}

// Leading returns the number of leading prefixes that a holder has probably cached, and the probability of it.
func (mat *Matches) Leading(hld Holder) (prefixes int, weight float64) {
	for idx := range mat.count {
		if mat.holders[idx].holder == hld {
			return mat.holders[idx].prefixes, mat.holders[idx].weight
		}
	}
	return 0, 0
}

func (mat *Matches) add(hld Holder, pos int, weight float64) {
	for idx := range mat.count {
		if mat.holders[idx].holder == hld {
			// An engine can reuse a cached prefix only if it has cached all prefixes before it.
			if mat.holders[idx].prefixes == pos {
				mat.holders[idx].prefixes++
				mat.holders[idx].weight = weight
			}
			return
		}
	}
	if pos == 0 && mat.count < len(mat.holders) {
		mat.holders[mat.count] = match{
			holder:   hld,
			prefixes: 1,
			weight:   weight,
		}
		mat.count++
	}
}
