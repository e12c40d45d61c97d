package stream

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/relay/sets"
)

const portTries = 20 // engines may have a port on some host

func keeperName(host int) string { return fmt.Sprint("keeper-", host) }

// startKeepers starts a keeper on each host of engines.
func (r *run) startKeepers() error {
	for n := range r.site.Hosts {
		ip, _ := r.site.Host(n)
		if _, err := r.dep.StartKeeper(keeperName(n), ip); err != nil {
			return err
		}
	}
	return nil
}

// leadToKeepers leads the links of a new relay to keepers through the network. The relay gets a
// port for them of its own, as links to keepers don't name their relay.
func (r *run) leadToKeepers(s *sets.Settings) error {
	var errs []error
	for range portTries {
		addrs, err := fleet.FreeAddrs(1)
		if err != nil {
			return err
		}
		_, port, err := net.SplitHostPort(addrs[0])
		if err != nil {
			return fmt.Errorf("port of keepers: %w", err)
		}
		if err = r.listenForKeepers(s, port); err == nil {
			s.Keepers.Port, err = strconv.Atoi(port)
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (r *run) listenForKeepers(s *sets.Settings, port string) error {
	for n := range r.site.Hosts {
		ip, _ := r.site.Host(n)
		target := net.JoinHostPort(ip, strconv.Itoa(s.Keepers.Port))
		if _, err := r.net.listen(net.JoinHostPort(ip, port), target, &link{side: toKeepers, from: s.Instance}); err != nil {
			return err
		}
	}
	return nil
}

// loseKeepers ends some keepers.
func (f *faults) loseKeepers() error {
	hosts := f.rng.Perm(f.site.Hosts)[:1+f.rng.IntN(f.site.Hosts/2)]
	away := f.between(500*time.Millisecond, 5*time.Second)
	f.Logf("%d keepers are lost for %s", len(hosts), away)
	f.impose(ConditionKeepersLost, away)
	f.endKeepers(hosts, away)
	return nil
}

// endKeepers ends the keepers of hosts by SIGKILL and starts them again some time later.
func (f *faults) endKeepers(hosts []int, away time.Duration) {
	for _, n := range hosts {
		name := keeperName(n)
		k := f.dep.Keepers[name]
		p := k.Proc()
		kill(p)
		f.after(away, func() error {
			if k.Proc() != p {
				return nil // started again before
			}
			if err := awaitEnd(p); err != nil {
				return err
			}
			_, err := f.dep.StartKeeper(name, "")
			return err
		})
	}
}
