package catalog

import "fmt"

// Revision orders changes of the platform's store, which numbers them with a version. When
// the store is restored from a backup, its era is incremented and versions continue from that
// of the backup. So all revisions of a later era are higher than those of an earlier one, and
// versions of different eras are never compared. The zero value is the lowest.
type Revision uint64

// The lowest versionBits hold the version, the bits above them the era. A store with 1,200
// writes per second reaches 2^44 after 464 years.
const (
	versionBits = 44
	maxVersion  = 1<<versionBits - 1
	// MaxEra is the highest era that fits in a revision.
	MaxEra = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a version in an era.
func NewRevision(era, version uint64) Revision {
	return Revision(min(era, MaxEra)<<versionBits | min(version, maxVersion))
}

// Era returns the number of times that the store had been restored from a backup.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version returns the store's own version number within the era.
func (r Revision) Version() uint64 { return uint64(r) & maxVersion }

// String returns the era and the version.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Version()) }
