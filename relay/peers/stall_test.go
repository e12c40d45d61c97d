package peers

import (
	"errors"
	"testing"
	"time"
)

// TestHeartbeatsDuringStall guards against a link that counts as silent, so that its items run
// again and shared work moves to other relays, because this process stood still while the answer
// to a heartbeat arrived.
func TestHeartbeatsDuringStall(t *testing.T) {
	s := &session{mesh: &Mesh{}}
	interval := s.mesh.Timing.checkInterval()
	now := time.Unix(1000, 0)
	check := func(after time.Duration) error {
		now = now.Add(after)
		_, err := s.heartbeatDue(now, now)
		return err
	}
	if err := check(0); err != nil {
		t.Fatal(err)
	}
	s.awaitAnswer(now)
	if err := check(10 * heartbeatTimeout); err != nil {
		t.Errorf("after a standstill: %v", err)
	}
	ran := interval
	for ; ran < 2*heartbeatTimeout; ran += interval {
		if err := check(interval); err != nil {
			if !errors.Is(err, errSilent) || ran+interval <= heartbeatTimeout {
				t.Errorf("after %v in which the process ran: %v", ran+interval, err)
			}
			return
		}
	}
	t.Errorf("a link without answers for %v doesn't count as silent", ran)
}

// TestFirstHeartbeatDuringStall guards against a new link that counts as silent because this
// process stood still between its first heartbeat and the first check.
func TestFirstHeartbeatDuringStall(t *testing.T) {
	s := (&Mesh{}).newSession(nil, nil, nil, true)
	begun := time.Now()
	s.awaitAnswer(begun)
	now := begun.Add(10 * heartbeatTimeout)
	if _, err := s.heartbeatDue(now, begun); err != nil {
		t.Errorf("first check after a standstill: %v", err)
	}
}
