// Package prove owns the tests of the nine promises to callers and operators: it
// runs real daemon processes among fake targets, injects faults of all kinds, and
// evaluates the callers' and targets' own records.
//
// It must not rely on what a daemon reports about itself where that is under test.
// All its code is tests.
package prove
