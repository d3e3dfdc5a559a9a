package route

// Budget bounds retries to a share of the requests, so that retries do not
// grow an overload. The zero value allows the first few retries.
type Budget struct {
	// spent rises by one with each retry and falls by a tenth with each
	// request; a retry needs it below the bound.
	spent float64
}

const (
	// retryShare is how many retries one request earns.
	retryShare = 0.1
	// retryBurst is how many retries may come without requests in between.
	retryBurst = 20
)

// Earn records a request.
func (b *Budget) Earn() { b.spent = max(0, b.spent-retryShare) }

// Spend records a retry and reports whether it may be made.
func (b *Budget) Spend() bool {
	if b.spent >= retryBurst {
		return false
	}
	b.spent++
	return true
}

// Version chooses between the weight versions of a deployment while a swap
// rolls. ready of total workers hold the wanted version; a context moves to it
// once its fraction, from 0 up to 1, is below their share, so that the load on
// both grows with the workers that hold them.
func Version(fraction float64, ready, total int) (wanted bool) {
	return total == 0 || fraction < float64(ready)/float64(total)
}
