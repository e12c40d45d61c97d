package main

import "time"

// playCopies lets some servers of stages repeat some of their answers late: a second copy
// arrives where the next answer on the connection is expected.
func playCopies(s *site, trouble bool) error {
	if err := s.startServers(abay()); err != nil {
		return err
	}
	if err := s.startRelays(4, zones, 284); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	wg := s.traffic(45 * time.Second)
	time.Sleep(5 * time.Second)
	for range 4 { // 5 s each, with 5 s between them
		n := make(map[string]int)
		for _, e := range s.servers {
			if e.service.Segments == nil || float64(n[e.service.Name]+1) > 0.6*float64(e.service.servers) {
				continue
			}
			n[e.service.Name]++
			e.copyOf = 0.03
			e.copies.Store(trouble)
		}
		time.Sleep(5 * time.Second)
		for _, e := range s.servers {
			e.copies.Store(false)
		}
		time.Sleep(5 * time.Second)
	}
	wg.Wait()
	return nil
}
