package event

import "time"

// Forecast is what a decision expected of a request, beside what came of it.
type Forecast struct {
	// Service and Target are where the request was sent.
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	// ExpectedMillis is the expected time to the first answer.
	ExpectedMillis float64 `json:"expectedMillis"`
	// InTime is the chance that it comes within the aim, and Served the chance that
	// it comes before the caller gives up.
	InTime float64 `json:"inTime"`
	Served float64 `json:"served"`
	// AimMillis is what was left of the aim at the decision; below 0 where it was over.
	AimMillis float64 `json:"aimMillis"`
	// FirstMillis is the time from the decision to the first answer; 0 where none
	// came.
	FirstMillis float64 `json:"firstMillis"`
	// Sends is how often the request was sent; only the first send is forecast.
	Sends int `json:"sends"`
}

// Millis turns a time into the number that a forecast holds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
