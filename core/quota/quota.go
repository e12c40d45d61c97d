// Package quota divides limits that hold over all processes together, where
// nothing is shared between them.
package quota

// Share returns the part of a whole limit that one of size members may use. rank
// is its place, from 0, in an order on which all agree: what doesn't divide
// evenly goes to the first. The shares of all ranks together are at most limit.
func Share(limit float64, size, rank int) int {
	n := max(1, size)
	whole := int(limit)
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}
