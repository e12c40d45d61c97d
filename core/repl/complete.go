package repl

// IsComplete reports whether changes, in the order of their revisions, can be all that was ever
// made to their keys: each key begins with its creation, and again after each removal.
func IsComplete(changes []Entry) bool {
	exists := make(map[string]bool)
	for _, e := range changes {
		if created := !e.Removed && e.Created == e.Revision; created == exists[e.Key] {
			return false
		}
		exists[e.Key] = !e.Removed
	}
	return true
}
