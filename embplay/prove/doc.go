// Package prove owns the proofs of the nine promises: real daemons as
// processes, stand-ins around them, faults of all kinds, and judges that read
// the callers' and targets' own records.
//
// It must not take a daemon's word for anything that it judges. All its code
// is tests.
package prove
