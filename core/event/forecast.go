package event

import "time"

// Forecast is the prediction made for the first attempt of a request, and its outcome.
type Forecast struct {
	// Service and Target are where the first attempt was sent.
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	// ExpectedMillis is the predicted time to the first response, in milliseconds.
	ExpectedMillis float64 `json:"expectedMillis"`
	// InTime is the predicted probability of a first response within the latency
	// objective, and Served the predicted probability of one before the caller gives up.
	InTime float64 `json:"inTime"`
	Served float64 `json:"served"`
	// AimMillis is the time that remained of the latency objective at the decision, in
	// milliseconds; negative if the objective was already missed.
	AimMillis float64 `json:"aimMillis"`
	// FirstMillis is the time from the decision to the first response, in
	// milliseconds; 0 if there was none.
	FirstMillis float64 `json:"firstMillis"`
	// Sends is the number of attempts; the prediction is for the first one only.
	Sends int `json:"sends"`
}

// Millis returns d in milliseconds, as used in a Forecast.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
