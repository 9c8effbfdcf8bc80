package objects

// eraShift is the position of the era in a version. Revisions below it last for millennia, and with some thousand eras
// a version is still an exact JSON number.
const eraShift = 40

// VersionIn returns the version for a revision of the store. The parameter era counts from 0 how often the store was
// restored from a copy: it then gives out revisions again, and versions keep increasing nevertheless.
func VersionIn(era, revision uint64) uint64 {
	return era<<eraShift | revision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 {
	return version >> eraShift
}

// RevisionOf returns the store's revision of a version.
func RevisionOf(version uint64) uint64 {
	return version & (1<<eraShift - 1)
}
