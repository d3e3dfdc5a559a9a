package host

import (
	"fmt"
	"slices"
	"time"

	"embertally.dev/core/route"
	"embertally.dev/emberd/internal/settings"
)

// Settings are everything that a hosted daemon is told by its file.
type Settings struct {
	Name      string  `yaml:"name" doc:"Name of the box. Required."`
	Domain    string  `yaml:"domain" doc:"Failure domain of the box. Required."`
	Callers   string  `yaml:"callers" doc:"IP address and port where callers are answered. Required."`
	Readiness string  `yaml:"readiness" doc:"IP address and port of the readiness question, GET /v1/readyz. Required."`
	Peers     string  `yaml:"peers" doc:"IP address and port where other daemons are answered. Required."`
	Metrics   string  `yaml:"metrics" doc:"IP address and port of the figures, GET /metrics. Required."`
	Store     string  `yaml:"store" doc:"IP address and port of the platform's store. Required."`
	MemoryMB  int64   `yaml:"memoryMB" doc:"Memory that the process may use. Required."`
	Placement string  `yaml:"placement" doc:"How model workers are chosen: returning, or roundRobin, leastTokens or stickyHash to measure against; these copy nothing from stores."`
	LogLevel  string  `yaml:"logLevel" doc:"Least severity of log lines: debug, info, warning or error."`
	LogRate   int     `yaml:"logRate" doc:"Most lines of one event in a second; warnings and errors get five times as many."`
	Bounds    Bounds  `yaml:"bounds" doc:"What the deployment promises and asks for."`
	Retries   Retries `yaml:"retries" doc:"How often requests may be sent again, over all daemons together."`
	Tuning    Tuning  `yaml:"tuning" doc:"How often daemons talk."`
}

// Bounds are the times of a deployment.
type Bounds struct {
	Stop       time.Duration `yaml:"stop" doc:"How long a planned stop may take."`
	OrderApart time.Duration `yaml:"orderApart" doc:"Least time between orders of two holders of the right to give them."`
	Weights    time.Duration `yaml:"weights" doc:"How long after newer weights were named a request may begin on the older ones."`
	Contact    time.Duration `yaml:"contact" doc:"Silence of the store after which the configuration may be old."`
}

// Retries bound repeated sends.
type Retries struct {
	Share  float64       `yaml:"share" doc:"Repeated sends for each request."`
	Extra  float64       `yaml:"extra" doc:"Repeated sends beside, in a window."`
	Window time.Duration `yaml:"window" doc:"Length of the window."`
}

// Tuning sets how often daemons talk.
type Tuning struct {
	Heartbeat time.Duration `yaml:"heartbeat" doc:"Time between heartbeats."`
	Suspect   time.Duration `yaml:"suspect" doc:"Silence after which a peer counts as lost. At least three heartbeats."`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Placement: string(route.Returning), LogLevel: "info", LogRate: 40,
		Bounds:  Bounds{Stop: 8 * time.Second, OrderApart: 3 * time.Second, Weights: 12 * time.Second, Contact: 3 * time.Second},
		Retries: Retries{Share: 0.2, Window: 10 * time.Second},
		Tuning:  Tuning{Heartbeat: 150 * time.Millisecond, Suspect: 1500 * time.Millisecond},
	}
}

// ReadSettings reads and checks a file. The error names all faults at once.
func ReadSettings(path string) (Settings, error) {
	return settings.Read(path, Defaults(), (*Settings).check)
}

// ParseSettings reads and checks settings. The error names all faults at once.
func ParseSettings(raw []byte) (Settings, error) {
	return settings.Parse(raw, Defaults(), (*Settings).check)
}

func (s *Settings) check() []string {
	var c settings.Checker
	c.Need(s.Name != "", "name", "is required")
	c.Need(s.Domain != "", "domain", "is required")
	for _, a := range []struct{ field, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"store", s.Store},
	} {
		c.Address(a.field, a.value)
	}
	c.Need(s.MemoryMB >= leastMemoryMB, "memoryMB", fmt.Sprintf("must be at least %d", leastMemoryMB))
	c.Need(slices.Contains(hostPlacements, route.Placement(s.Placement)), "placement", "must be returning, roundRobin, leastTokens or stickyHash")
	c.Need(s.LogRate > 0, "logRate", "must be more than 0")
	c.Need(slices.Contains([]string{"debug", "info", "warning", "error"}, s.LogLevel), "logLevel", "must be debug, info, warning or error")
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.stop", s.Bounds.Stop},
		{"bounds.orderApart", s.Bounds.OrderApart},
		{"bounds.contact", s.Bounds.Contact},
		{"bounds.weights", s.Bounds.Weights},
		{"retries.window", s.Retries.Window},
		{"tuning.heartbeat", s.Tuning.Heartbeat},
	} {
		c.Positive(d.field, d.value)
	}
	c.Need(s.Retries.Share >= 0 && s.Retries.Extra >= 0, "retries", "must not be negative")
	c.Need(s.Tuning.Suspect >= 3*s.Tuning.Heartbeat, "tuning.suspect", "must be at least three heartbeats")
	return c.Faults()
}

// hostPlacements are the placements that a hosted daemon knows.
var hostPlacements = []route.Placement{route.Returning, route.RoundRobin, route.LeastTokens, route.StickyHash}

// leastMemoryMB is what a daemon with libraries and buffers needs at start.
const leastMemoryMB = 24
