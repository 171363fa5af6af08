package record

import (
	"cmp"
	"maps"
	"slices"
)

// Compare orders authors by VM, then by incarnation.
func (a Author) Compare(b Author) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sortedAuthors(m map[Author]uint64) []Author {
	return slices.SortedFunc(maps.Keys(m), Author.Compare)
}
