package origin

import "time"

// MaxViewLag is the age up to which any view may be used to begin a stream. Versions takes
// for granted that no older one was.
const MaxViewLag = viewLag

// MayBegin reports whether a stream that another relay may have to take up can begin by a
// view of an age. unchanged tells that the list can't have changed since, as no relay
// reaches the store.
func MayBegin(viewAge time.Duration, unchanged bool) bool {
	return viewAge <= MaxViewLag || unchanged
}
