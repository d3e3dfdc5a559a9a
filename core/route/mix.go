package route

// Mix counts the short and the long prompts of a service, so that workers are
// set aside for short ones only where there are both. The zero value is ready.
type Mix struct{ short, long float64 }

const (
	// mixForget is the share of the counts that each request takes away: the
	// last few hundred requests count.
	mixForget = 1.0 / 300
	// mixLeast is the share of requests from which a kind counts.
	mixLeast = 0.03
	// mixEnough is the count below which both kinds are taken to come, so that
	// a daemon that has just started chooses as the others do.
	mixEnough = 60
	// shortShare is the part of the workers that is set aside for short prompts
	// where there are both. On the users' sites the parts of all sessions fit
	// into the memory of a third of the workers, and long prompts need half of
	// the workers' time at most.
	shortShare = 0.3
)

// Count records a prompt.
func (m *Mix) Count(tokens int) {
	m.short *= 1 - mixForget
	m.long *= 1 - mixForget
	if tokens <= ShortPrompt {
		m.short++
	} else {
		m.long++
	}
}

// ShortWorkers returns how many of n workers are set aside for short prompts.
func (m *Mix) ShortWorkers(n int) int {
	total := m.short + m.long
	if total >= mixEnough && (m.short < mixLeast*total || m.long < mixLeast*total) {
		return 0
	}
	return int(shortShare*float64(n) + 0.5)
}
