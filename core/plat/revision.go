package plat

// Revisions of the service rise within an era only: a service that comes back from an older copy
// begins another era, in which it gives revisions out again. What this package calls a revision is
// both in one number, ordered by era first, so that all that compares revisions stays right over
// eras. Of a service without eras it is the service's own number.

const (
	// eraShift is how many bits of a revision are the service's own number.
	eraShift = 40
	// EraMost is the highest era that a revision can hold: fences are revisions, and travel as
	// numbers that must stay exact in a float64.
	EraMost = 1<<(53-eraShift) - 1
)

// Revision returns the revision of the service's own number in an era.
func Revision(era, number int64) int64 { return era<<eraShift | number }

// Era returns the era of a revision; 0 where the service has none.
func Era(revision int64) int64 { return max(0, revision) >> eraShift }

// Number returns the service's own number of a revision. One below 0, which no key has, stays.
func Number(revision int64) int64 {
	if revision < 0 {
		return revision
	}
	return revision & (1<<eraShift - 1)
}

// Session names a session of the service. The zero value is none.
type Session struct {
	ID int64
	// Era is that in which it was opened. In a later one its name may be that of another session.
	Era int64
}
