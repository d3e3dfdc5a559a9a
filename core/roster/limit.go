package roster

// Limit is the request rate that one answer of a target names. The zero value names none.
type Limit struct {
	Named bool
	// PerSecond is the rate, in requests a second from all daemons together.
	PerSecond float64
	// Odd is a value that can't be read, or "".
	Odd string
}
