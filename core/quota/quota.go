// Package quota divides fleet-wide limits among processes that share no state.
package quota

import "math"

// Share returns the part of limit, rounded down to an integer, that one of a group
// of members may use. rank is the position of the member, from 0, in an order that
// all members agree on. What doesn't divide evenly goes to the first members, one
// unit each. The shares of all ranks add up to at most limit.
func Share(limit float64, members, rank int) int {
	n := max(1, members)
	whole := int(min(limit, math.MaxInt32)) // the conversion of a float that an integer can't hold depends on the processor
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}
