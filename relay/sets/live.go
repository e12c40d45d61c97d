package sets

import (
	"reflect"

	"wigeonplank.example/base/sets"
)

// Live holds the current settings of a relay and reloads them.
type Live = sets.Live[Settings]

// Open reads the settings file of a relay. Any error is a *sets.FileError.
func Open(file string) (*Live, error) { return sets.Open(file, changedFixedKey) }

// LiveKeeper holds the current settings of a keeper and reloads them.
type LiveKeeper = sets.Live[Keeper]

// OpenKeeper reads the settings file of a keeper. Any error is a *sets.FileError.
func OpenKeeper(file string) (*LiveKeeper, error) { return sets.Open(file, changedFixedKeeperKey) }

// changedFixedKey returns the key of a setting that differs, but can't change
// without a restart. It returns "" if there is none.
func changedFixedKey(a, b *Settings) string {
	switch {
	case a.Instance != b.Instance:
		return "instance"
	case a.Zone != b.Zone:
		return "zone"
	case a.HTTP != b.HTTP:
		return "http"
	case a.Admin != b.Admin:
		return "admin"
	case !reflect.DeepEqual(a.Metrics, b.Metrics):
		return "metrics"
	case a.Peers.Listen != b.Peers.Listen:
		return "peers.listen"
	case a.Store != b.Store:
		return "store"
	}
	return ""
}

// changedFixedKeeperKey is changedFixedKey for a keeper.
func changedFixedKeeperKey(a, b *Keeper) string {
	switch {
	case a.Instance != b.Instance:
		return "instance"
	case a.Links != b.Links:
		return "links"
	}
	return ""
}
