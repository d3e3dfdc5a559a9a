package route

import "time"

// Allowance bounds the repeated sends to a service over a sliding window, as a
// share of the requests for it and a number beside. Its owner passes the time
// by a steady clock; the zero value allows nothing.
type Allowance struct {
	// Share is how many repeats one request allows.
	Share float64
	// Extra is how many repeats the window allows beside.
	Extra float64
	// Window is the length of the window.
	Window time.Duration

	steps [allowanceSteps + 1]allowanceStep
	at    int64
}

// allowanceSteps is how many steps a window has.
const allowanceSteps = 20

type allowanceStep struct{ requests, repeats int }

func (a *Allowance) advance(now time.Duration) {
	step := int64(now / (a.Window / allowanceSteps))
	if step-a.at > int64(len(a.steps)) {
		a.steps = [allowanceSteps + 1]allowanceStep{}
		a.at = step
	}
	for ; a.at < step; a.at++ {
		a.steps[(a.at+1)%int64(len(a.steps))] = allowanceStep{}
	}
}

func (a *Allowance) current() *allowanceStep { return &a.steps[a.at%int64(len(a.steps))] }

// Earn records a request.
func (a *Allowance) Earn(now time.Duration) {
	if a.Window <= 0 {
		return
	}
	a.advance(now)
	a.current().requests++
}

// Spend records a repeated send and reports whether it may be made.
func (a *Allowance) Spend(now time.Duration) bool {
	if a.Window <= 0 {
		return false
	}
	a.advance(now)
	requests, repeats := 0, 0
	for _, s := range a.steps {
		requests += s.requests
		repeats += s.repeats
	}
	if float64(repeats+1) > a.Share*float64(requests)+a.Extra {
		return false
	}
	a.current().repeats++
	return true
}
