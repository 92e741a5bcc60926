package catalog

import "fmt"

// Revision orders what the platform's store tells. The store counts its changes; when it
// came back from an older copy of itself, its era is one higher, and it gives counts out
// again from that of the copy on. So all of a later era comes after all of an earlier one,
// and counts of two eras are never compared. The zero value is before all others.
type Revision uint64

// versionBits hold the count of changes, the bits above them the era. A store that takes
// 1,200 writes a second counts 17 million million of them in 464 years.
const (
	versionBits = 44
	mostVersion = 1<<versionBits - 1
	// MaxEra is the highest era that a revision can hold.
	MaxEra = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a count of changes in an era.
func NewRevision(era, version uint64) Revision {
	return Revision(min(era, MaxEra)<<versionBits | min(version, mostVersion))
}

// Era is how often the store had come back from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version is the store's count of changes, for the store itself.
func (r Revision) Version() uint64 { return uint64(r) & mostVersion }

// String returns the era and the count.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Version()) }
