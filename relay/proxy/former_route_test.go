package proxy

import (
	"strings"
	"testing"
)

// TestStreamOfRouteThatWasResumable guards against a stream that holds events of two software
// versions: the caller takes it up where the route can't be resumed any more, or not yet by an
// older configuration, and it goes on at any version.
func TestStreamOfRouteThatWasResumable(t *testing.T) {
	const taken = 3
	_, _, heads := streamOver(t, false, taken-1, "\r\nid: 3\ndata: 3\n\n", "\r\n")
	close(heads)
	for head := range heads {
		if strings.Contains(head, "Last-Event-Id: 2") {
			t.Errorf("a stream of unknown version goes on: %q", head)
		}
	}
}
