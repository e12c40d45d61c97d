package stall

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// TestDialDuringStall guards against an endpoint that counts as unreachable because this process
// stood still until the time for a dial was over.
func TestDialDuringStall(t *testing.T) {
	const timeout = 20 * time.Millisecond
	errDial := errors.New("dial failed")
	for name, tc := range map[string]struct {
		took  time.Duration // by the first dial
		dials int
	}{
		"standstill": {timeout + 2*dialMargin, 2},
		"timeout":    {timeout, 1},
		"refused":    {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			dials := 0
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			c, err := retryDial(context.Background(), timeout, func(context.Context) (net.Conn, error) {
				if dials++; dials == 1 {
					time.Sleep(tc.took)
					return nil, errDial
				}
				return near, nil
			})
			if dials != tc.dials || (err == nil) != (tc.dials == 2) || (c != nil) != (tc.dials == 2) {
				t.Errorf("%d dials, %v; want %d", dials, err, tc.dials)
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dials := 0
	_, err := retryDial(ctx, -dialMargin, func(context.Context) (net.Conn, error) {
		dials++
		return nil, errDial
	})
	if dials != 1 || err == nil {
		t.Errorf("%d dials, %v, for a caller that has left", dials, err)
	}
}
