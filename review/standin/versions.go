package main

import "time"

// playVersions lets model servers crash while the store is down. They come back under the
// ids that they had, with another version of their software, which the store can't tell.
func playVersions(s *site, trouble bool) error {
	if err := s.startServers(abay()); err != nil {
		return err
	}
	if err := s.startRelays(4, zones, 284); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	var models []*server
	for _, e := range s.servers {
		if e.service.Engine != nil {
			models = append(models, e)
		}
	}
	wg := s.traffic(38 * time.Second)
	time.Sleep(6 * time.Second)
	for round := range 2 {
		if !trouble {
			time.Sleep(15 * time.Second)
			continue
		}
		version := []string{"v2", "v3"}[round]
		s.logf("the store is down for 8 s")
		s.store.setMode("silent")
		end := time.Now().Add(8 * time.Second)
		time.Sleep(300 * time.Millisecond)
		var restarted []*server
		for i := range 3 {
			group := models[3*i : 3*i+3] // a quarter of the servers
			for _, e := range group {
				s.logf("server %s crashes", e.id)
				e.crash()
			}
			time.Sleep(2 * time.Second)
			for _, e := range group {
				s.logf("server %s is back with version %s", e.id, version)
				if err := e.restart(version); err != nil {
					return err
				}
			}
			restarted = append(restarted, group...)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Until(end))
		s.logf("the store is back")
		s.store.setMode("")
		for _, e := range restarted {
			e.register()
		}
		time.Sleep(7 * time.Second)
	}
	wg.Wait()
	s.mu.Lock()
	n := len(s.mixed)
	s.mu.Unlock()
	s.logf("%d streams hold events of two versions", n)
	if n > 2 {
		s.breakf("ORDER: %d streams hold events from servers of two software versions", n)
	}
	return nil
}
