package deploy

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync/atomic"

	base "wigeonplank.example/base/sets"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/relay/sets"
)

// Keeper is a keeper process and its files.
type Keeper struct {
	Name         string
	Settings     sets.Keeper
	SettingsFile string // path of the settings file
	LogFile      string // path of the log

	proc atomic.Pointer[fleet.Proc] // of the last start
}

// Proc returns the process of the last start.
func (k *Keeper) Proc() *fleet.Proc { return k.proc.Load() }

// WriteSettings writes the keeper's settings file.
func (k *Keeper) WriteSettings() error { return writeSettings(k.Name, k.SettingsFile, k.Settings) }

// Listens reports whether the keeper accepts links.
func (k *Keeper) Listens() bool {
	c, err := net.Dial("tcp", k.Settings.Links.Listen)
	if err == nil {
		_ = c.Close() // nothing was sent on it
	}
	return err == nil
}

// StartKeeper starts a keeper on the host with an address, without waiting until it listens.
// Relays that are started later use it if endpoints run on that host. A keeper that was started
// before under the same name is started again; ip is ignored then.
func (d *Deployment) StartKeeper(name, ip string) (*Keeper, error) {
	k := d.Keepers[name]
	if k == nil {
		if d.keeperPort == 0 {
			addrs, err := fleet.FreeAddrs(1)
			if err != nil {
				return nil, err
			}
			_, port, err := net.SplitHostPort(addrs[0])
			if err != nil {
				return nil, fmt.Errorf("port of keepers: %w", err)
			}
			if d.keeperPort, err = strconv.Atoi(port); err != nil {
				return nil, fmt.Errorf("port of keepers: %w", err)
			}
		}
		k = &Keeper{
			Name: name, SettingsFile: filepath.Join(d.Dir, name+".yaml"), LogFile: filepath.Join(d.Dir, name+".log"),
			Settings: sets.Keeper{Instance: name, Links: base.Listen{Listen: net.JoinHostPort(ip, strconv.Itoa(d.keeperPort))}},
		}
		if err := k.WriteSettings(); err != nil {
			return nil, err
		}
		if d.Keepers == nil {
			d.Keepers = make(map[string]*Keeper)
		}
		d.Keepers[name] = k
	}
	p, err := fleet.StartProc(k.Name, k.LogFile, filepath.Join(d.Bin, "relay"), "--keeper", "--settings", k.SettingsFile)
	k.proc.Store(p)
	return k, err
}

// stopKeepers ends the keepers that still run.
func (d *Deployment) stopKeepers() error {
	var errs []error
	for _, k := range d.Keepers {
		if k.Proc() != nil && k.Proc().Running() {
			errs = append(errs, k.Proc().Stop(stopTimeout))
		}
	}
	return errors.Join(errs...)
}
